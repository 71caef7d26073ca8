import { readFileSync } from "node:fs";
import { monitorEventLoopDelay, PerformanceObserver } from "node:perf_hooks";
import type { ExchangeEnd } from "./exchange.ts";

/** Response field that breaks down a request's time, in the format of W3C Server Timing. */
const TIMING_FIELD = "server-timing";
/** A finer resolution would cost more wake-ups without explaining more. */
const LOOP_RESOLUTION_MS = 2;
/**
 * The measurement of event loop delays and garbage collection stops after this time without a request for a
 * breakdown, so that an idle daemon does not pay for it.
 */
const IDLE_TIMEOUT_MS = 10_000;

/** A request that may ask for a breakdown of its time. */
export interface TimedRequest {
  readonly head: { readonly timing: boolean };
  readonly completeAtMs: number;
  /** Whether the caller's daemon or the owner daemon reports the times; the prefix of the names in the breakdown. */
  readonly side: "caller" | "owner";
  /** Wait for a slot. */
  readonly queueMs?: number;
  readonly end: ExchangeEnd;
}

/** Reports, to requests that ask for it, a breakdown of their time and the pauses of this process. */
export interface TimingReporter {
  /** If the request asks for it, adds `TIMING_FIELD` to the header fields of a response, names and values in turn. */
  addTo(fields: string[], request: TimedRequest): void;
}

/**
 * Creates a reporter. It measures the process from the first request for a breakdown until 10 s after the last one.
 * `loop` (longest delay), `gc` and `cpuwait` (sums) cover the time since the previous request for a breakdown. They
 * are 0 for the request that starts the measurement. After a restart of the measurement, the `loop` and
 * `gc` of the second request also cover the time from the last request before the stop until the stop.
 */
export function createTimingReporter(): TimingReporter {
  const loop = monitorEventLoopDelay({ resolution: LOOP_RESOLUTION_MS });
  let gcMs = 0;
  let waitedMs = 0;
  let stopTimer: NodeJS.Timeout | undefined;
  const observer = new PerformanceObserver((list) => {
    for (const { duration } of list.getEntries()) gcMs += duration;
  });

  function stop(): void {
    stopTimer = undefined;
    loop.disable();
    observer.disconnect();
  }

  function readPauses(): Readonly<Record<"loop" | "gc" | "cpuwait", number>> {
    const waitedBeforeMs = waitedMs;
    waitedMs = processorWaitMs();
    if (stopTimer === undefined) {
      loop.enable();
      observer.observe({ entryTypes: ["gc"] });
      stopTimer = setTimeout(stop, IDLE_TIMEOUT_MS).unref();
      return { loop: 0, gc: 0, cpuwait: 0 };
    }
    stopTimer.refresh();
    // The histogram holds the intervals of a timer, so its resolution is part of each value.
    const delayMs = loop.max / 1e6 - LOOP_RESOLUTION_MS;
    const pauses = {
      loop: Math.max(0, delayMs),
      gc: gcMs,
      cpuwait: waitedMs - waitedBeforeMs,
    };
    loop.reset();
    gcMs = 0;
    return pauses;
  }

  return {
    addTo(fields, { head, completeAtMs, side, queueMs = 0, end }) {
      if (!head.timing) return;
      const { connectMs = 0, headMs = 0, durationMs } = end;
      const parts = {
        total: performance.now() - completeAtMs,
        queue: queueMs,
        connect: connectMs,
        head: headMs - connectMs,
        body: durationMs - headMs,
        ...readPauses(),
      };
      const value = Object.entries(parts)
        .map(([name, ms]) => `${side}_${name};dur=${ms.toFixed(3)}`);
      fields.push(TIMING_FIELD, value.join(", "));
    },
  };
}

/** Time that the main thread was runnable but had no CPU; 0 where the system does not report it. */
function processorWaitMs(): number {
  try {
    const path = `/proc/self/task/${process.pid}/schedstat`;
    return Number(readFileSync(path, "utf8").split(" ")[1]) / 1e6;
  } catch {
    return 0;
  }
}
