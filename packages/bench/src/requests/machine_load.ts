import { cpus } from "node:os";

/** Starts to measure the share of all processors' time that is in use; call the result to read it. */
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
