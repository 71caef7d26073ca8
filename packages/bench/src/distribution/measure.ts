import { setTimeout as sleep } from "node:timers/promises";
import type { DaemonProcess, Mesh } from "@tanagercove/emulator";
import {
  type ProcessUsage,
  readProcessUsage,
} from "../common/process_usage.ts";

/** Counters of one daemon at a moment. */
interface DaemonSample {
  readonly usage: ProcessUsage;
  readonly sentBytes: number;
  readonly receivedBytes: number;
}

/** Counters of a mesh at a moment. */
export interface MeshSample {
  readonly atMs: number;
  readonly platformCalls: number;
  readonly rateLimitedCalls: number;
  readonly daemons: ReadonlyMap<string, DaemonSample>;
}

/** What one daemon used between two samples. */
export interface DaemonUse {
  readonly sentBytesPerSecond: number;
  readonly receivedBytesPerSecond: number;
  readonly cpuShare: number;
  readonly residentBytes: number;
}

/** What a mesh used between two samples. */
export interface MeshUse {
  readonly seconds: number;
  readonly platformCalls: number;
  readonly rateLimitedCalls: number;
  readonly daemons: readonly DaemonUse[];
}

/** The end of a window that a sample marks; the state dump that it takes stays outside the window. */
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

/** Computes what was used between two samples by the daemons that both have. */
export function useBetween(before: MeshSample, after: MeshSample): MeshUse {
  const seconds = (after.atMs - before.atMs) / 1_000;
  const daemons: DaemonUse[] = [];
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

/** Samples a mesh over a time in which nothing is published. */
export async function measureRest(
  mesh: Mesh,
  durationMs: number,
): Promise<MeshUse> {
  const before = await sampleMesh(mesh, "first");
  await sleep(durationMs);
  return useBetween(before, await sampleMesh(mesh, "last"));
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
