/** Options of `slowStartShare`. */
export interface SlowStartShareOptions {
  /** When the upstream first appeared, came back to the list or ended its ejection. */
  readonly startedMs: number;
  readonly nowMs: number;
  /** Time until the full share; 0 gives it at once. */
  readonly slowStartMs?: number;
}

/** Time over which a cold upstream warms its caches and connections. */
export const SLOW_START_MS = 10_000;

/** Without a first share no request would ever warm the upstream. */
export const SLOW_START_MIN_SHARE = 0.1;

/** Computes the share, 0.1 to 1, of choices in which an upstream takes part. */
export function slowStartShare(
  { startedMs, nowMs, slowStartMs = SLOW_START_MS }: SlowStartShareOptions,
): number {
  if (slowStartMs === 0) return 1;
  const share = (nowMs - startedMs) / slowStartMs;
  return Math.min(1, Math.max(SLOW_START_MIN_SHARE, share));
}
