/** Most that the daemons may add to the 99th percentile at half capacity. */
export const ADDED_P99_MAX_MS = 1.7;
/** Least goodput at 4 times capacity, as a share of that at capacity. */
export const OVERLOAD_GOODPUT_MIN_SHARE = 0.9;
/** Most attempts per request in a full outage. */
export const OUTAGE_ATTEMPTS_MAX = 1.1;
/** Fewest requests per daemon over which that bar is judged. */
export const OUTAGE_REQUESTS_MIN = 1_000;
/** Latest new work on an upstream that is leaving. */
export const LAST_NEW_WORK_MAX_MS = 3_000;

/** Whether a result meets its bar; `not_shown` where the measurement does not tell. */
export type BarVerdict = "met" | "missed" | "not_shown";

/** States a bar and whether a result meets it. */
export interface BarResult {
  readonly bar: string;
  readonly result: BarVerdict;
}

/** Gives the verdict on one bar. */
export function judge(bar: string, met: boolean): BarResult {
  return { bar, result: met ? "met" : "missed" };
}

/** Gives a bar that the measurement leaves open, with the reason in its text. */
export function notShown(bar: string, reason: string): BarResult {
  return { bar: `${bar} (not shown: ${reason})`, result: "not_shown" };
}
