import { setTimeout as wait } from "node:timers/promises";

/** Monotonic clock, unrelated to the time of day. */
export interface Clock {
  /** Milliseconds since an arbitrary origin. */
  nowMs(): number;
  /** Resolves after the given time, or earlier when the signal aborts. */
  sleep(ms: number, signal?: AbortSignal): Promise<void>;
}

/** Source of random numbers. */
export interface Random {
  /** Returns a number from 0 (included) to 1 (excluded). */
  next(): number;
}

/** The process's monotonic clock. */
export const SYSTEM_CLOCK: Clock = {
  nowMs: () => performance.now(),
  sleep: (ms, signal) => wait(ms, undefined, { signal }).catch(() => {}),
};

/** The runtime's random number generator. */
export const SYSTEM_RANDOM: Random = { next: () => Math.random() };
