import { setTimeout as sleep } from "node:timers/promises";
import { type Mesh, startMesh } from "@tanagercove/emulator";
import { readProcessUsage } from "../common/process_usage.ts";
import { writeResult } from "../common/report.ts";
import {
  type Percentiles,
  percentilesOf,
  round,
} from "../common/statistics.ts";
import { measureMachineLoad } from "../requests/machine_load.ts";
import { probePairsInProcess } from "../requests/worker.ts";

/** Options of `runPeerKeys`. */
export interface RunPeerKeysOptions {
  readonly seed: number;
  readonly restMs: number;
  /** Duration of the load at each of the two request rates. */
  readonly loadMs: number;
}

const ZONES = ["zone-a", "zone-b", "zone-c"];
const SERVICES = ["swatches", "reservations"];
const CUSTOMER = "isla";
const SERVICE_TIME_MS = 5;
const DEADLINE_MS = 5_000;
const IN_FORCE_TIMEOUT_MS = 20_000;
/**
 * Rates of pairs of calls (see `probePairs`). At the higher rate connections are reused. At the lower rate an
 * upstream gets a pair about every 2 s. Daemons close connections after 1 s without a request, so many are closed
 * before the next pair.
 */
const PAIRS_PER_SECOND = { reused: 100, sparse: 3 };

/** Measures a fleet at rest and at two request rates, first without TLS between daemons, then with `tls = required`. */
export async function runPeerKeys(options: RunPeerKeysOptions): Promise<void> {
  for (const tls of ["off", "required"] as const) {
    const mesh = await startMesh({
      zones: ZONES,
      services: SERVICES,
      relay: false,
      upstreams: "processes",
      upstreamOptions: () => ({
        serviceTime: { shape: "fixed", meanMs: SERVICE_TIME_MS },
      }),
      plans: `${CUSTOMER} = full\n`,
      allowances: `full = ${SERVICES.join(", ")}\n`,
      tls: tls === "off" ? undefined : tls,
      statusIntervalMs: 0,
      ownProcessGroup: true,
    });
    try {
      await mesh.fleet.waitUntilInForce(mesh.platform.revision, {
        timeoutMs: IN_FORCE_TIMEOUT_MS,
      });
      const machineLoad = measureMachineLoad();
      const rest = await measureRest(mesh, options.restMs);
      writeResult({
        bench: "peer_keys",
        tls,
        seed: options.seed,
        daemons: mesh.vms.length,
        rest,
        added_ms: {
          reused: await measureAdded(mesh, "reused", options),
          sparse: await measureAdded(mesh, "sparse", options),
        },
        machine_busy_share: round(machineLoad()),
      });
    } finally {
      await mesh.close();
    }
  }
}

/** Returns means over the daemons at rest: the percentage of a core used, and the control bytes sent and received each second. */
async function measureRest(mesh: Mesh, restMs: number) {
  const readUsage = () =>
    Promise.all(mesh.fleet.daemons.map(async (daemon) => {
      const { control_bytes: bytes } = await daemon.dump() as {
        control_bytes: { sent_bytes: number; received_bytes: number };
      };
      return {
        cpuMs: readProcessUsage(daemon.pid!)!.cpuMs,
        bytes: bytes.sent_bytes + bytes.received_bytes,
      };
    }));
  const before = await readUsage();
  const startedAtMs = performance.now();
  await sleep(restMs);
  const after = await readUsage();
  const elapsedMs = performance.now() - startedAtMs;
  const mean = (field: "cpuMs" | "bytes") =>
    after.reduce((sum, now, i) => sum + now[field] - before[i]![field], 0) /
    after.length / elapsedMs;
  return {
    core_percent: round(mean("cpuMs") * 100),
    control_bytes_per_s: Math.round(mean("bytes") * 1_000),
  };
}

/**
 * Returns percentiles, over the pairs, of the latency of the call through the daemon of another VM of the zone minus
 * the latency of the direct call.
 */
async function measureAdded(
  { vms, callerUrl }: Mesh,
  rate: keyof typeof PAIRS_PER_SECOND,
  { seed, loadMs }: RunPeerKeysOptions,
): Promise<Percentiles> {
  const pairs = await probePairsInProcess({
    targets: vms.map((vm) => {
      const otherVm = vms.find(({ id, zone }) =>
        zone === vm.zone && id !== vm.id
      )!;
      return {
        service: vm.service,
        daemonUrl: callerUrl(otherVm.id),
        upstreamUrl: `http://${vm.address}:${vm.upstreamPort}`,
      };
    }),
    customer: CUSTOMER,
    pairsPerSecond: PAIRS_PER_SECOND[rate],
    durationMs: loadMs,
    deadlineMs: DEADLINE_MS,
    seed,
  });
  return percentilesOf(
    pairs.flatMap(({ calls: { direct, daemon } }) =>
      direct === undefined || daemon === undefined
        ? []
        : [daemon.latencyMs - direct.latencyMs]
    ),
  );
}
