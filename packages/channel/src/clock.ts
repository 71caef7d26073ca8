/** Clock and timers of `BodyGrants`; tests and simulations use a virtual clock. */
export interface Clock {
  /** Monotonic time in milliseconds; its origin is arbitrary. */
  nowMs(): number;
  /** Calls back once after the delay unless the timer is cancelled first. */
  setTimer(callback: () => void, delayMs: number): { cancel(): void };
}

/** The process's monotonic clock and timers. */
export const systemClock: Clock = {
  nowMs: () => performance.now(),
  setTimer(callback, delayMs) {
    const timer = setTimeout(callback, delayMs);
    return { cancel: () => clearTimeout(timer) };
  },
};
