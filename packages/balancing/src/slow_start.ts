/** Options of `slowStartShare`. */
export interface SlowStartShareOptions {
  /**
   * When the upstream appeared in the VM list or became live again, or when its last ejection ended if that is later.
   * Brief ejections (`BRIEF_EJECTION_MS`) do not count.
   */
  readonly startedMs: number;
  readonly nowMs: number;
  /** Time until the upstream gets its full share; 0 disables the slow start. */
  readonly slowStartMs?: number;
}

/** Time in which a cold upstream fills its caches and opens its connections. */
export const SLOW_START_MS = 10_000;

/** Minimum share; without any requests an upstream would never warm up. */
export const SLOW_START_MIN_SHARE = 0.1;

/** Computes the share, 0.1 to 1, of choices for which an upstream is eligible. */
export function slowStartShare(
  { startedMs, nowMs, slowStartMs = SLOW_START_MS }: SlowStartShareOptions,
): number {
  if (slowStartMs === 0) return 1;
  const share = (nowMs - startedMs) / slowStartMs;
  return Math.min(1, Math.max(SLOW_START_MIN_SHARE, share));
}
