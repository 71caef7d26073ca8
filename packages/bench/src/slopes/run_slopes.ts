import { setTimeout as sleep } from "node:timers/promises";
import { runLoadProcesses } from "@tanagercove/emulator";
import { readProcessUsage } from "../common/process_usage.ts";
import { writeProgress, writeResult } from "../common/report.ts";
import { percentilesOf, round } from "../common/statistics.ts";
import { holdIdleConnections, holdRequests } from "./held_load.ts";
import { type SlopesMesh, startSlopesMesh } from "./slopes_mesh.ts";

/**
 * Not in ascending order: calls become cheaper while V8 compiles more of the request path, which would make the
 * slope too small if the higher rates came last.
 */
const CALLS_PER_SECOND = [200, 50, 400, 100] as const;
const RATE_MS = 8_000;
/** V8 compiles the request path only after thousands of requests. */
const WARM_UP = { ratePerSecond: 400, durationMs: 12_000 };
const QUEUED_REQUESTS = [250, 500, 750, 1_000] as const;
const CONNECTIONS = [500, 1_000, 1_500, 2_000] as const;
/** Time for connections and requests to arrive before the memory is read. */
const SETTLE_MS = 1_500;

/** Measures one fleet of three daemons and writes a result line for each rate and size. */
export async function runSlopes(seed: number): Promise<void> {
  const slopes = await startSlopesMesh();
  try {
    await load(slopes, { ...WARM_UP, seed });
    await measureRates(slopes, seed);
    await measureConnections(slopes, seed);
    await measureQueue(slopes, seed);
  } finally {
    await slopes.close();
  }
}

interface Load {
  readonly ratePerSecond: number;
  readonly durationMs: number;
  readonly seed: number;
}

function load(slopes: SlopesMesh, options: Load) {
  return runLoadProcesses({
    ...options,
    targets: [slopes.callerUrl],
    customers: [slopes.customer],
    services: [slopes.service],
    idempotentShare: 1,
  }, 1);
}

async function measureRates(slopes: SlopesMesh, seed: number): Promise<void> {
  for (const [index, ratePerSecond] of CALLS_PER_SECOND.entries()) {
    writeProgress(`slopes: ${ratePerSecond} calls/s`);
    const before = readUsage(slopes);
    const startedAtMs = performance.now();
    const { calls } = await load(slopes, {
      ratePerSecond,
      durationMs: RATE_MS,
      seed: seed * 100 + index,
    });
    const seconds = (performance.now() - startedAtMs) / 1_000;
    const after = readUsage(slopes);
    const rate = (key: keyof Usage) =>
      round((after[key] - before[key]) / seconds);
    writeSlope("rate", seed, {
      callsPerSecond: round(calls.length / seconds),
      answered: calls.filter(({ outcome }) => outcome === "answered").length,
      sentLateMs: percentilesOf(calls.map(({ sentLateMs }) => sentLateMs)),
      callerCpuMsPerSecond: rate("callerCpuMs"),
      ownerCpuMsPerSecond: rate("ownerCpuMs"),
      bytesPerSecondBetweenDaemons: rate("bytesBetweenDaemons"),
    });
  }
}

/** Totals since the processes started. */
interface Usage {
  readonly callerCpuMs: number;
  readonly ownerCpuMs: number;
  readonly bytesBetweenDaemons: number;
}

function readUsage(slopes: SlopesMesh): Usage {
  return {
    callerCpuMs: readProcessUsage(slopes.pids.caller)!.cpuMs,
    ownerCpuMs: readProcessUsage(slopes.pids.owner)!.cpuMs,
    bytesBetweenDaemons: slopes.bytesBetweenDaemons(),
  };
}

function residentBytes(pid: number): number {
  return readProcessUsage(pid)!.residentBytes;
}

async function measureConnections(
  slopes: SlopesMesh,
  seed: number,
): Promise<void> {
  const held = holdIdleConnections(slopes.idlePeer);
  for (const connections of [0, ...CONNECTIONS]) {
    writeProgress(`slopes: ${connections} idle connections`);
    await held.grow(connections);
    await sleep(SETTLE_MS);
    writeSlope("connections", seed, {
      connections,
      residentBytes: residentBytes(slopes.pids.idle),
    });
  }
  held.close();
}

async function measureQueue(slopes: SlopesMesh, seed: number): Promise<void> {
  await slopes.occupySlots();
  const held = holdRequests(slopes);
  for (const queuedRequests of [0, ...QUEUED_REQUESTS]) {
    writeProgress(`slopes: ${queuedRequests} queued requests`);
    held.grow(queuedRequests);
    await sleep(SETTLE_MS);
    writeSlope("queued", seed, {
      queuedRequests,
      /** Less than `queuedRequests` if some were refused or failed. */
      stillHeld: held.count,
      callerResidentBytes: residentBytes(slopes.pids.caller),
      ownerResidentBytes: residentBytes(slopes.pids.owner),
    });
  }
  await held.close();
}

function writeSlope(
  result: string,
  seed: number,
  fields: Readonly<Record<string, unknown>>,
): void {
  writeResult({ bench: "slopes", variant: "owner", result, seed, ...fields });
}
