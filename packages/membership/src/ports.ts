import { setTimeout as wait } from "node:timers/promises";

/** Monotonic time. It has no relation to the time of day. */
export interface Clock {
  /** Milliseconds since any fixed moment. */
  nowMs(): number;
  /** Resolves after a time, or earlier when the signal aborts. */
  sleep(ms: number, signal?: AbortSignal): Promise<void>;
}

/** Source of random numbers. */
export interface Random {
  /** At least 0 and below 1. */
  next(): number;
}

/** The process's monotonic clock. */
export const SYSTEM_CLOCK: Clock = {
  nowMs: () => performance.now(),
  sleep: (ms, signal) => wait(ms, undefined, { signal }).catch(() => {}),
};

/** The runtime's random numbers. */
export const SYSTEM_RANDOM: Random = { next: () => Math.random() };
