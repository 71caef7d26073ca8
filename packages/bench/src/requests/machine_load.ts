import { cpus } from "node:os";

/** Above this, processes wait for a processor and a result reflects the machine rather than the system. */
const MACHINE_BUSY_MAX_SHARE = 0.85;
/**
 * Above this, the offered load differs from what the result states. 20 ms are 5 % of the 400 ms that the
 * upstreams take for a request in the part `goodput`.
 */
const SENT_LATE_P99_MAX_MS = 20;

/** Conditions under which a result was measured. */
export interface MeasurementConditions {
  /** Share of all processors' time that is in use, by all processes of the machine. */
  readonly machineBusyShare: number;
  /** 99th percentile of the generators' delay, in milliseconds. */
  readonly sentLateP99Ms: number;
}

/** Lists the conditions that make a result unreliable; empty if there are none. */
export function measurementLimits(
  { machineBusyShare, sentLateP99Ms }: MeasurementConditions,
): readonly string[] {
  const limits: string[] = [];
  if (machineBusyShare > MACHINE_BUSY_MAX_SHARE) {
    limits.push(
      `Processors ${Math.round(machineBusyShare * 100)} % busy, at most ${
        MACHINE_BUSY_MAX_SHARE * 100
      } % expected`,
    );
  }
  if (sentLateP99Ms > SENT_LATE_P99_MAX_MS) {
    limits.push(
      `Requests sent ${sentLateP99Ms} ms late at p99, at most ${SENT_LATE_P99_MAX_MS} ms expected`,
    );
  }
  return limits;
}

/** Starts to measure the share of all processors' time that is in use; the returned function reads it. */
export function measureMachineLoad(): () => number {
  const before = processorTimes();
  return () => {
    const after = processorTimes();
    const totalMs = after.totalMs - before.totalMs;
    return totalMs === 0 ? 0 : (after.busyMs - before.busyMs) / totalMs;
  };
}

function processorTimes(): {
  readonly busyMs: number;
  readonly totalMs: number;
} {
  let busyMs = 0;
  let totalMs = 0;
  for (const { times } of cpus()) {
    const usedMs = times.user + times.nice + times.sys + times.irq;
    busyMs += usedMs;
    totalMs += usedMs + times.idle;
  }
  return { busyMs, totalMs };
}
