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
 * Computes the factor, 0.5 to 2, by which a reported load changes an upstream's score.
 * Half load is neutral and the effect fades with the age of the report, because
 * reports lag and may be false.
 */
export function loadHint({ reported, nowMs }: LoadHintOptions): number {
  if (reported === undefined) return 1;
  const ageMs = Math.max(0, nowMs - reported.atMs);
  const freshness = Math.max(0, 1 - ageMs / LOAD_MAX_AGE_MS);
  const load = Math.min(1, Math.max(0, reported.load));
  return 2 ** ((load - NEUTRAL_LOAD) / NEUTRAL_LOAD * freshness);
}
