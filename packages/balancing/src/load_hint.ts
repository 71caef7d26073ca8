/** Load that an upstream reported, with the time of the report. */
export interface ReportedLoad {
  /** Share of its capacity that is in use, 0 to 1. */
  readonly load: number;
  readonly atMs: number;
}

/** Options of `loadHint`. */
export interface LoadHintOptions {
  readonly reported: ReportedLoad | undefined;
  readonly nowMs: number;
}

/** Reports older than this describe requests that have long finished (probes run every second or so). */
export const LOAD_MAX_AGE_MS = 3_000;

const NEUTRAL_LOAD = 0.5;

/**
 * Largest factor between a full and a half-loaded upstream. With 2, reports
 * that are a second old drew the callers together to the same upstreams, which
 * made p99 worse even where all were true (docs/decisions/choice_of_upstream.md).
 */
export const LOAD_MAX_FACTOR = 2 ** 0.25;

/**
 * Computes the factor by which a reported load changes an upstream's score,
 * between 1 / `LOAD_MAX_FACTOR` and `LOAD_MAX_FACTOR`. Half load is neutral and
 * the effect fades with the age of the report.
 */
export function loadHint({ reported, nowMs }: LoadHintOptions): number {
  if (reported === undefined) return 1;
  const ageMs = Math.max(0, nowMs - reported.atMs);
  const freshness = Math.max(0, 1 - ageMs / LOAD_MAX_AGE_MS);
  const load = Math.min(1, Math.max(0, reported.load));
  return LOAD_MAX_FACTOR ** ((load - NEUTRAL_LOAD) / NEUTRAL_LOAD * freshness);
}
