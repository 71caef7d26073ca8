/** Options of `watchTimerDelay`. */
export interface WatchTimerDelayOptions {
  /** Called at each interval with the time by which the timer fired too late. */
  readonly onDelay: (delayMs: number) => void;
  readonly intervalMs?: number;
}

/** A running watch. */
export interface TimerDelayWatch {
  /**
   * Whether events may have waited for longer than `INTERVAL_MS` and `BEHIND_MS` together: the timer is overdue, or it
   * fired late the last time.
   */
  isBehind(): boolean;
  close(): void;
}

const INTERVAL_MS = 250;

/** Delay of a timer from which the process counts as behind. */
const BEHIND_MS = 100;

/**
 * Measures how late timers fire. All events of a process wait that long while it handles others, is short of processor
 * time or is suspended.
 */
export function watchTimerDelay(
  { onDelay, intervalMs = INTERVAL_MS }: WatchTimerDelayOptions,
): TimerDelayWatch {
  let timer: NodeJS.Timeout;
  let dueMs = 0;
  let lastDelayMs = 0;
  function schedule(): void {
    dueMs = performance.now() + intervalMs;
    timer = setTimeout(() => {
      lastDelayMs = Math.max(0, performance.now() - dueMs);
      onDelay(lastDelayMs);
      schedule();
    }, intervalMs);
  }
  schedule();
  return {
    isBehind: () =>
      lastDelayMs > BEHIND_MS || performance.now() - dueMs > BEHIND_MS,
    close: () => clearTimeout(timer),
  };
}
