/** Clock that balancing uses; tests set its time. */
export interface Clock {
  /** Monotonic time in milliseconds; its origin is arbitrary. */
  nowMs(): number;
}

/** The process's monotonic clock. */
export const systemClock: Clock = { nowMs: () => performance.now() };
