/** Time as balancing needs it. */
export interface Clock {
  /** Monotonic time in milliseconds; its origin is arbitrary. */
  nowMs(): number;
}

/** The monotonic clock of the process. */
export const systemClock: Clock = { nowMs: () => performance.now() };
