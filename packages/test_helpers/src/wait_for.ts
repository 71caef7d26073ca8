import { setTimeout as sleep } from "node:timers/promises";

/** Options of `waitFor`. */
export interface WaitForOptions {
  /** Timeout of the wait, after which it fails. */
  readonly timeoutMs?: number;
  readonly intervalMs?: number;
  /** What is awaited, for the error on a timeout. */
  readonly what?: string;
}

/** Polls `probe` until it returns a value other than undefined, null or false, and returns that value. */
export async function waitFor<T>(
  probe: () => T | Promise<T>,
  options: WaitForOptions = {},
): Promise<NonNullable<T>> {
  const timeoutMs = options.timeoutMs ?? 10_000;
  const deadlineMs = performance.now() + timeoutMs;
  for (;;) {
    const value = await probe();
    if (value !== undefined && value !== null && value !== false) return value;
    if (performance.now() > deadlineMs) {
      throw new Error(
        `No ${options.what ?? "expected state"} within ${timeoutMs} ms`,
      );
    }
    await sleep(options.intervalMs ?? 20);
  }
}
