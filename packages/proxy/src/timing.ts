import { readFileSync } from "node:fs";
import { monitorEventLoopDelay, PerformanceObserver } from "node:perf_hooks";
import type { ExchangeEnd } from "./exchange.ts";

/** Field in which daemons tell where a request's time went, in the format of W3C Server Timing. */
const TIMING_FIELD = "server-timing";
/** A finer resolution costs more wake-ups than it explains. */
const LOOP_RESOLUTION_MS = 2;
/** Without a request that asks, the measurement stops, so that a daemon at rest does not pay for it. */
const UNASKED_MS = 10_000;

/** A request that may ask where its time went. */
export interface TimedRequest {
  readonly head: { readonly timing: boolean };
  readonly completeAtMs: number;
  /** Side of the request path, which begins the names of its parts. */
  readonly side: "caller" | "owner";
  /** Wait for a slot. */
  readonly queueMs?: number;
  readonly end: ExchangeEnd;
}

/** Tells requests that ask for it where their time went and what held up this process. */
export interface TimingReporter {
  /** Adds the field to those of an answer, names and values in turn. */
  addTo(fields: string[], request: TimedRequest): void;
}

/**
 * Creates a reporter. It measures the process from the first request that asks until some seconds after the
 * last; `loop`, `gc` and `cpuwait` cover the time since the previous request that asked.
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
      stopTimer = setTimeout(stop, UNASKED_MS).unref();
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

/** Time that the main thread was ready to run and got no processor; 0 where the system does not tell. */
function processorWaitMs(): number {
  try {
    const path = `/proc/self/task/${process.pid}/schedstat`;
    return Number(readFileSync(path, "utf8").split(" ")[1]) / 1e6;
  } catch {
    return 0;
  }
}
