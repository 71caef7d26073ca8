import { setTimeout as sleep } from "node:timers/promises";

/** Time for which a stopping daemon stays, so that clients see that it is not ready. */
const STOP_MIN_MS = 2_300;

/** Time for which a stopping daemon must be without requests before it ends. */
const STOP_IDLE_MS = 300;

/** Time before the kill at which the process ends, whatever is in flight. */
const STOP_MARGIN_MS = 400;

/** How often a stopping daemon looks for requests in flight. */
const STOP_CHECK_MS = 50;

/** Options of `whenDrained`. */
export interface WhenDrainedOptions {
  /** Time from the stop signal until the process is killed. */
  readonly drainTimeoutMs: number;
  /** Whether requests are in flight. */
  readonly isBusy: () => boolean;
}

/** Resolves when a stopping daemon has had no requests for a while, or shortly before the kill. */
export async function whenDrained(
  { drainTimeoutMs, isBusy }: WhenDrainedOptions,
): Promise<void> {
  const startMs = performance.now();
  const endAtMs = startMs + drainTimeoutMs - STOP_MARGIN_MS;
  let idleSinceMs = startMs;
  while (performance.now() < endAtMs) {
    const nowMs = performance.now();
    if (isBusy()) idleSinceMs = nowMs;
    const isIdle = nowMs - idleSinceMs >= STOP_IDLE_MS;
    if (isIdle && nowMs - startMs >= STOP_MIN_MS) return;
    await sleep(STOP_CHECK_MS);
  }
}
