import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import type { Vm } from "@tanagercove/types";

/** One daemon process of a fleet. */
export interface FleetDaemon {
  readonly vm: Vm;
  readonly operatorUrl: string;
  readonly process: ChildProcess;
}

/** Options of `startFleet`. */
export interface StartFleetOptions {
  readonly platformUrl: string;
  readonly vms: readonly Vm[];
}

/** Daemons running as processes. */
export interface Fleet {
  readonly daemons: readonly FleetDaemon[];
  close(): Promise<void>;
}

const PROGRAM = resolve("dist/tanagercove.cjs");

/** Starts a daemon process for each VM. */
export async function startFleet(options: StartFleetOptions): Promise<Fleet> {
  const folder = await mkdtemp(join(tmpdir(), "tanagercove-"));
  const daemons: FleetDaemon[] = [];
  for (const vm of options.vms) {
    const file = join(folder, `${vm.id}.ini`);
    await writeFile(file, settingsFor(vm, options));
    const child = spawn(
      process.execPath,
      [PROGRAM, "run", "--settings", file],
      {
        stdio: ["ignore", "ignore", "inherit"],
      },
    );
    daemons.push({
      vm,
      operatorUrl: `http://${vm.address}:${vm.peerPort + 1}`,
      process: child,
    });
  }
  return {
    daemons,
    async close() {
      await Promise.all(daemons.map(async ({ process: child }) => {
        if (child.exitCode !== null || child.signalCode !== null) return;
        child.kill("SIGTERM");
        await once(child, "exit");
      }));
      await rm(folder, { recursive: true, force: true });
    },
  };
}

function settingsFor(vm: Vm, options: StartFleetOptions): string {
  return [
    "[daemon]",
    `vm_id = ${vm.id}`,
    `zone = ${vm.zone}`,
    `region = ${vm.region}`,
    `service = ${vm.service}`,
    `address = ${vm.address}`,
    `caller_port = ${vm.callerPort}`,
    `peer_port = ${vm.peerPort}`,
    "[platform]",
    `url = ${options.platformUrl}`,
    "[upstream]",
    `address = ${vm.address}`,
    `port = ${vm.upstreamPort}`,
    "[operators]",
    `address = ${vm.address}`,
    `port = ${vm.peerPort + 1}`,
    "",
  ].join("\n");
}
