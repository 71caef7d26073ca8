/** Time and timers as admission needs them. */
export interface Clock {
  /** Monotonic time in milliseconds; its origin is arbitrary. */
  nowMs(): number;
  /** Calls back once after the delay unless cancelled before. */
  setTimer(callback: () => void, delayMs: number): Timer;
}

/** A timer that has been set. */
export interface Timer {
  cancel(): void;
}

/** The monotonic clock and the timers of the process. */
export const systemClock: Clock = {
  nowMs: () => performance.now(),
  setTimer(callback, delayMs) {
    const timer = setTimeout(callback, delayMs);
    return { cancel: () => clearTimeout(timer) };
  },
};
