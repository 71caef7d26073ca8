import { performance } from "node:perf_hooks";

/** How late a process handles events, measured over one interval. */
export interface EventLoopLag {
  /** Time by which a timer fired too late. */
  readonly delayMs: number;
  /** Average time that the event loop was at work in each turn. */
  readonly turnMs: number;
}

/** Options of `watchEventLoop`. */
export interface WatchEventLoopOptions {
  /** Called after each interval. */
  readonly onMeasured: (lag: EventLoopLag) => void;
  readonly intervalMs?: number;
}

/** A running watch. */
export interface EventLoopWatch {
  /** Whether events may have waited for long: by the last measurement, or because the next one is overdue. */
  isBehind(): boolean;
  close(): void;
}

const INTERVAL_MS = 250;

/** Delay of a timer from which the process counts as behind. */
const BEHIND_MS = 100;

/**
 * Average turn from which the process counts as behind. Node accepts one connection in each turn, so that a request on
 * the last of 50 new connections then waits for half a second, although timers are on time.
 */
const BEHIND_TURN_MS = 10;

/**
 * Measures how late timers fire and how long the turns of the event loop are. Events wait while the process handles
 * others, is short of processor time or is suspended.
 */
export function watchEventLoop(
  { onMeasured, intervalMs = INTERVAL_MS }: WatchEventLoopOptions,
): EventLoopWatch {
  let timer: NodeJS.Timeout;
  let dueMs = 0;
  let wasLate = false;
  let usage = performance.eventLoopUtilization();
  let turns = countTurns();
  function schedule(): void {
    dueMs = performance.now() + intervalMs;
    timer = setTimeout(() => {
      const lag = measure();
      wasLate = isLate(lag);
      onMeasured(lag);
      schedule();
    }, intervalMs);
  }
  function measure(): EventLoopLag {
    const { active } = performance.eventLoopUtilization(usage);
    const turnCount = Math.max(1, countTurns() - turns);
    usage = performance.eventLoopUtilization();
    turns += turnCount;
    return {
      delayMs: Math.max(0, performance.now() - dueMs),
      turnMs: active / turnCount,
    };
  }
  schedule();
  return {
    isBehind: () => wasLate || performance.now() - dueMs > BEHIND_MS,
    close: () => clearTimeout(timer),
  };
}

function isLate({ delayMs, turnMs }: EventLoopLag): boolean {
  return delayMs > BEHIND_MS || turnMs > BEHIND_TURN_MS;
}

function countTurns(): number {
  return performance.nodeTiming.uvMetricsInfo.loopCount;
}
