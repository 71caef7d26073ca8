/** Options of `watchTimerDelay`. */
export interface WatchTimerDelayOptions {
  /** Called at each interval with the time by which the timer fired too late. */
  readonly onDelay: (delayMs: number) => void;
  readonly intervalMs?: number;
}

/** A running watch. */
export interface TimerDelayWatch {
  close(): void;
}

const INTERVAL_MS = 250;

/**
 * Measures how late timers fire. All events of a process wait that long while it handles others, is short of processor
 * time or is suspended.
 */
export function watchTimerDelay(
  { onDelay, intervalMs = INTERVAL_MS }: WatchTimerDelayOptions,
): TimerDelayWatch {
  let timer: NodeJS.Timeout;
  function schedule(): void {
    const dueMs = performance.now() + intervalMs;
    timer = setTimeout(() => {
      onDelay(Math.max(0, performance.now() - dueMs));
      schedule();
    }, intervalMs);
  }
  schedule();
  return { close: () => clearTimeout(timer) };
}
