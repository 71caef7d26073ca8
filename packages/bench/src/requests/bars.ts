/** Maximum 99th percentile of the time that the daemons add at half capacity. */
export const ADDED_P99_MAX_MS = 1.7;
/** Minimum goodput at 4 times capacity, as a share of that at capacity. */
export const OVERLOAD_GOODPUT_MIN_SHARE = 0.9;
/** Maximum attempts per request in a full outage. */
export const OUTAGE_ATTEMPTS_MAX = 1.1;
/** Minimum requests per daemon for judging `OUTAGE_ATTEMPTS_MAX`. */
export const OUTAGE_REQUESTS_MIN = 1_000;
/** Maximum time from the start of leaving to the last new work on the upstream. */
export const LAST_NEW_WORK_MAX_MS = 3_000;

/** Whether a result meets its bar, the limit that it is judged by; `not_shown` if the measurement is inconclusive. */
export type BarVerdict = "met" | "missed" | "not_shown";

/** States a bar and whether a result meets it. */
export interface BarResult {
  readonly bar: string;
  readonly result: BarVerdict;
}

/** Returns a bar with the result `met` or `missed`. */
export function judge(bar: string, met: boolean): BarResult {
  return { bar, result: met ? "met" : "missed" };
}

/** Returns a bar for which the measurement is inconclusive, with the reason in its text. */
export function notShown(bar: string, reason: string): BarResult {
  return { bar: `${bar} (not shown: ${reason})`, result: "not_shown" };
}
