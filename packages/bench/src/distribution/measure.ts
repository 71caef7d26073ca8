import { setTimeout as sleep } from "node:timers/promises";
import type { DaemonProcess, Mesh } from "@tanagercove/emulator";
import {
  type ProcessUsage,
  readProcessUsage,
} from "../common/process_usage.ts";

/** Counters of one daemon at one moment. */
interface DaemonSample {
  readonly usage: ProcessUsage;
  readonly sentBytes: number;
  readonly receivedBytes: number;
}

/** Counters of a mesh at one moment. */
export interface MeshSample {
  readonly atMs: number;
  readonly platformCalls: number;
  readonly rateLimitedCalls: number;
  readonly daemons: ReadonlyMap<string, DaemonSample>;
}

/** Resources that one daemon used between two samples; `residentBytes` is its memory at the second sample. */
export interface DaemonUsage {
  readonly sentBytesPerSecond: number;
  readonly receivedBytesPerSecond: number;
  readonly cpuShare: number;
  readonly residentBytes: number;
}

/** Resources that a mesh used between two samples. */
export interface MeshUsage {
  readonly seconds: number;
  readonly platformCalls: number;
  readonly rateLimitedCalls: number;
  readonly daemons: readonly DaemonUsage[];
}

/**
 * Whether a sample opens or closes a measured window. The processor time of the state dumps that the two samples
 * request is not part of the window.
 */
export type WindowEnd = "first" | "last";

/** Reads the counters of all running daemons and of the platform. */
export async function sampleMesh(
  mesh: Mesh,
  end: WindowEnd,
): Promise<MeshSample> {
  const samples = await Promise.all(
    mesh.fleet.active.map(async (daemon) =>
      [daemon.id, await sampleDaemon(daemon, end)] as const
    ),
  );
  return {
    atMs: performance.now(),
    platformCalls: mesh.platform.callCount,
    rateLimitedCalls: mesh.platform.rateLimitedCount,
    daemons: new Map(samples),
  };
}

/** Computes the usage between two samples. Daemons that are not in both samples are left out. */
export function usageBetween(before: MeshSample, after: MeshSample): MeshUsage {
  const seconds = (after.atMs - before.atMs) / 1_000;
  const daemons: DaemonUsage[] = [];
  for (const [id, last] of after.daemons) {
    const first = before.daemons.get(id);
    if (first === undefined) continue;
    daemons.push({
      sentBytesPerSecond: (last.sentBytes - first.sentBytes) / seconds,
      receivedBytesPerSecond: (last.receivedBytes - first.receivedBytes) /
        seconds,
      cpuShare: (last.usage.cpuMs - first.usage.cpuMs) / 1_000 / seconds,
      residentBytes: last.usage.residentBytes,
    });
  }
  return {
    seconds,
    platformCalls: after.platformCalls - before.platformCalls,
    rateLimitedCalls: after.rateLimitedCalls - before.rateLimitedCalls,
    daemons,
  };
}

/** Measures the usage of a mesh while nothing is published. */
export async function measureRest(
  mesh: Mesh,
  durationMs: number,
): Promise<MeshUsage> {
  const before = await sampleMesh(mesh, "first");
  await sleep(durationMs);
  return usageBetween(before, await sampleMesh(mesh, "last"));
}

async function sampleDaemon(
  daemon: DaemonProcess,
  end: WindowEnd,
): Promise<DaemonSample> {
  const usageBefore = readProcessUsage(daemon.pid!);
  const dump = await daemon.dump() as {
    readonly control_bytes: {
      readonly sent_bytes: number;
      readonly received_bytes: number;
    };
  };
  const usage = end === "last" ? usageBefore : readProcessUsage(daemon.pid!);
  if (usage === undefined) throw new Error(`Daemon "${daemon.id}" has ended`);
  return {
    usage,
    sentBytes: dump.control_bytes.sent_bytes,
    receivedBytes: dump.control_bytes.received_bytes,
  };
}
