/** Load reported by an upstream, and the time at which this daemon received the report. */
export interface ReportedLoad {
  /** Share of the upstream's capacity in use, 0 to 1. */
  readonly load: number;
  readonly atMs: number;
}

/** Options of `loadHint`. */
export interface LoadHintOptions {
  readonly reported: ReportedLoad | undefined;
  readonly nowMs: number;
}

/**
 * Age at which a report has no effect any more, since the requests that it describes have long finished. The owner
 * daemon reads the load about every second, with its health probes.
 */
export const LOAD_MAX_AGE_MS = 3_000;

const NEUTRAL_LOAD = 0.5;

/**
 * Largest factor between the scores of a fully and a half loaded upstream. With a
 * factor of 2, reports that were a second old made all callers choose the same
 * upstreams, which worsened p99 even with correct reports
 * (docs/decisions/choice_of_upstream.md).
 */
export const LOAD_MAX_FACTOR = 2 ** 0.25;

/**
 * Computes the factor by which a reported load changes an upstream's score,
 * between 1 / `LOAD_MAX_FACTOR` and `LOAD_MAX_FACTOR`. Half load is neutral, and
 * the effect decreases with the age of the report.
 */
export function loadHint({ reported, nowMs }: LoadHintOptions): number {
  if (reported === undefined) return 1;
  const ageMs = Math.max(0, nowMs - reported.atMs);
  const freshness = Math.max(0, 1 - ageMs / LOAD_MAX_AGE_MS);
  const load = Math.min(1, Math.max(0, reported.load));
  return LOAD_MAX_FACTOR ** ((load - NEUTRAL_LOAD) / NEUTRAL_LOAD * freshness);
}
