import { request } from "undici";
import {
  type CallRecord,
  compareExecutions,
  executionsOf,
  type ManagedProcess,
  type Mesh,
  runLoadProcesses,
  startMesh,
  UpstreamProcess,
} from "@tanagercove/emulator";
import type { Vm } from "@tanagercove/types";
import { BASELINE_COUNTS_PATH, type BaselineCounts } from "./baseline_proxy.ts";
import type { BenchPlan, SystemName } from "./plan.ts";
import { startBaselineProcess } from "./worker.ts";

/** Customer of all requests. */
export const CUSTOMER = "isla";
const BASELINE_PORT = 8_070;
const GENERATOR_COUNT = 4;
/**
 * Limit of the requests in flight of each load generator; a load that would exceed it fails. The limit is high, since
 * the baseline limits nothing: at 4 times capacity, requests can wait until their callers time out.
 */
const MAX_IN_FLIGHT = 20_000;
const IN_FORCE_TIMEOUT_MS = 20_000;
/** Time for the events of the last executions to arrive from the upstreams. */
const EVENT_DELAY_MS = 300;

/** Counters of one daemon or baseline proxy. */
export interface AttemptCounts {
  /** Requests for which an attempt was made; at daemons, all completed ones except those refused as `no_upstream`. */
  readonly requests: number;
  readonly attempts: number;
}

/** Number of calls that `SystemUnderTest.compare` checked, and of those with each kind of fault. */
export interface FaultCounts {
  requests: number;
  lost: number;
  runTwice: number;
  notRunThatRan: number;
  wrongAnswers: number;
}

/** Options of `SystemUnderTest.load`. */
export interface LoadOptions {
  readonly ratePerSecond: number;
  readonly durationMs: number;
  /** Default: the deadline of the plan. */
  readonly deadlineMs?: number;
  /** VMs to which callers send; default: all. */
  readonly callers?: readonly Vm[];
}

/** The upstreams and the daemons or baseline proxies in front of them. */
export class SystemUnderTest {
  readonly faults: FaultCounts = {
    requests: 0,
    lost: 0,
    runTwice: 0,
    notRunThatRan: 0,
    wrongAnswers: 0,
  };
  readonly name: SystemName;
  readonly plan: BenchPlan;
  readonly mesh: Mesh;
  readonly #proxies: readonly ManagedProcess[];
  #calls: (readonly CallRecord[])[] = [];
  #loads = 0;

  constructor(
    name: SystemName,
    { plan, mesh, proxies }: {
      readonly plan: BenchPlan;
      readonly mesh: Mesh;
      readonly proxies: readonly ManagedProcess[];
    },
  ) {
    this.name = name;
    this.plan = plan;
    this.mesh = mesh;
    this.#proxies = proxies;
  }

  /** URL to which callers on a VM send. */
  callerUrl(vm: Vm): string {
    return this.name === "baseline"
      ? `http://${vm.address}:${BASELINE_PORT}`
      : this.mesh.callerUrl(vm.id);
  }

  upstream(vm: Vm): UpstreamProcess {
    return this.mesh.upstreams.get(vm.id) as UpstreamProcess;
  }

  /** Sends a load and keeps its calls for `compare`. */
  async load(options: LoadOptions): Promise<readonly CallRecord[]> {
    this.#loads += 1;
    const { plan } = this;
    const { calls, notSent } = await runLoadProcesses({
      targets: (options.callers ?? this.mesh.vms)
        .map((vm) => this.callerUrl(vm)),
      customers: [CUSTOMER],
      services: plan.weightedServices,
      ratePerSecond: options.ratePerSecond,
      durationMs: options.durationMs,
      seed: plan.seed * 100 + this.#loads,
      idempotentShareByService: plan.idempotentShareByService,
      deadlineMs: options.deadlineMs ?? plan.deadlineMs,
      maxInFlight: MAX_IN_FLIGHT,
    }, GENERATOR_COUNT);
    if (notSent > 0) {
      throw new Error(`The load generators did not send ${notSent} requests`);
    }
    this.#calls.push(calls);
    return calls;
  }

  /** Changes the time that each request takes on all upstreams. */
  async setServiceTime(meanMs: number): Promise<void> {
    await Promise.all(this.mesh.vms.map((vm) =>
      this.upstream(vm).control({
        action: "set_service_time",
        serviceTime: { shape: "fixed", meanMs },
      })
    ));
  }

  /** Compares the calls since the last comparison with the executions and adds to `faults`. */
  async compare(): Promise<void> {
    await new Promise((resolve) => setTimeout(resolve, EVENT_DELAY_MS));
    const calls = this.#calls.flat();
    this.#calls = [];
    const found = compareExecutions(calls, executionsOf(this.mesh));
    this.faults.requests += calls.length;
    this.faults.lost += found.lost.length;
    this.faults.runTwice += found.runTwice.length;
    this.faults.notRunThatRan += found.notRunThatRan.length;
    this.faults.wrongAnswers +=
      calls.filter((call) => call.wrongAnswer !== undefined).length;
  }

  /** Reads the counters of each daemon or baseline proxy, by VM. */
  async attemptCounts(): Promise<ReadonlyMap<string, AttemptCounts>> {
    const counts = await Promise.all(this.mesh.vms.map(async (vm) => {
      const vmCounts = this.name === "baseline"
        ? await this.#baselineCounts(vm)
        : daemonCounts(await this.mesh.fleet.daemon(vm.id).dump());
      return [vm.id, vmCounts] as const;
    }));
    return new Map(counts);
  }

  async close(): Promise<void> {
    await Promise.all(this.#proxies.map((proxy) => proxy.stop()));
    await this.mesh.close();
  }

  async #baselineCounts(vm: Vm): Promise<BaselineCounts> {
    const answer = await request(
      `${this.callerUrl(vm)}${BASELINE_COUNTS_PATH}`,
    );
    return await answer.body.json() as BaselineCounts;
  }
}

/** Starts the upstreams of a deployment with daemons or baseline proxies. */
export async function startSystem(
  name: SystemName,
  plan: BenchPlan,
): Promise<SystemUnderTest> {
  const { deployment } = plan;
  const services = Object.keys(deployment.instancesByService);
  const zones = deployment.zones.length;
  const mesh = await startMesh({
    zones: deployment.zones,
    services,
    instances: (service, zoneIndex) => {
      const count = deployment.instancesByService[service] ?? 0;
      return Math.floor(count / zones) + (zoneIndex < count % zones ? 1 : 0);
    },
    relay: false,
    upstreams: "processes",
    upstreamOptions: () => ({
      serviceTime: { shape: "fixed", meanMs: plan.serviceTimeMs },
      slots: deployment.slots,
      connectionLimit: deployment.connections,
      overload: "wait",
    }),
    plans: `${CUSTOMER} = full\n`,
    allowances: `full = ${services.join(", ")}\n`,
    settings: {
      requests: { division: name === "direct" ? "direct" : "owner" },
      upstream: {
        slots: deployment.slots,
        connections: deployment.connections,
      },
    },
    statusIntervalMs: 0,
    ownProcessGroup: true,
  });
  try {
    if (name === "baseline") {
      return new SystemUnderTest(name, {
        plan,
        mesh,
        proxies: await replaceDaemons(mesh),
      });
    }
    await mesh.fleet.waitUntilInForce(mesh.platform.revision, {
      timeoutMs: IN_FORCE_TIMEOUT_MS,
    });
    return new SystemUnderTest(name, { plan, mesh, proxies: [] });
  } catch (error) {
    await mesh.close();
    throw error;
  }
}

/** Replaces each daemon with a baseline proxy. */
async function replaceDaemons(mesh: Mesh): Promise<readonly ManagedProcess[]> {
  await mesh.fleet.kill(mesh.fleet.daemons);
  const upstreams = mesh.vms.map(({ service, address, upstreamPort }) => ({
    service,
    address,
    port: upstreamPort,
  }));
  return await Promise.all(
    mesh.vms.map(({ address }) =>
      startBaselineProcess({ address, port: BASELINE_PORT, upstreams })
    ),
  );
}

function daemonCounts(dump: unknown): AttemptCounts {
  const { requests } = dump as {
    readonly requests: {
      readonly callers: {
        readonly outcomes: Readonly<Record<string, number>>;
        readonly reasons: Readonly<Record<string, number>>;
        readonly retries: number;
      };
    };
  };
  const { outcomes, reasons, retries } = requests.callers;
  const completed = Object.values(outcomes).reduce(
    (sum, count) => sum + count,
    0,
  );
  // Requests refused without an attempt would make the attempts per request look lower.
  const withoutAttempt = reasons.no_upstream ?? 0;
  const attempted = completed - withoutAttempt;
  return { requests: attempted, attempts: attempted + retries };
}
