import { percentilesOf, round } from "../common/statistics.ts";
import { measureMachineLoad, measurementLimits } from "./machine_load.ts";
import type { PairTarget } from "./probe_pairs.ts";
import { type PairsSummary, summarizePairs } from "./summarize_pairs.ts";
import { CUSTOMER, type SystemUnderTest } from "./system.ts";
import { probePairsInProcess } from "./worker.ts";

/**
 * Share of the load at half capacity that is sent as pairs. It is low, since two of a pair's three calls go straight
 * to an upstream and bypass the slots that its owner daemon counts.
 */
const PAIRED_SHARE = 0.3;
const CALLS_PER_PAIR = 3;
/** More than the 500 answered pairs that `summarizePairs` needs to judge the added time. */
const PAIRS = 600;

/** Time that the daemons add, and the conditions under which it was measured. */
export interface LatencyResult extends PairsSummary {
  readonly ratePerSecond: number;
  readonly machineBusyShare: number;
  /** Delay of the load generators. */
  readonly loadSentLateMs: ReturnType<typeof percentilesOf>;
  /** Conditions that make the result unreliable. */
  readonly limits: readonly string[];
}

/** Measures the time that the daemons add at half capacity. It sends pairs (see `probePairs`) while a load runs. */
export async function measureLatency(
  system: SystemUnderTest,
): Promise<LatencyResult> {
  const { plan } = system;
  const halfCapacity = plan.capacityPerSecond / 2;
  const pairsPerSecond = halfCapacity * PAIRED_SHARE / CALLS_PER_PAIR;
  const durationMs = PAIRS * 1_000 / pairsPerSecond;
  const machineLoad = measureMachineLoad();
  const [pairs, calls] = await Promise.all([
    probePairsInProcess({
      targets: pairTargets(system),
      customer: CUSTOMER,
      pairsPerSecond,
      durationMs,
      deadlineMs: plan.deadlineMs,
      seed: plan.seed,
    }),
    system.load({
      ratePerSecond: halfCapacity * (1 - PAIRED_SHARE),
      durationMs,
    }),
  ]);
  const machineBusyShare = round(machineLoad());
  const loadSentLateMs = percentilesOf(
    calls.map(({ sentLateMs }) => sentLateMs),
  );
  const limits = measurementLimits({
    machineBusyShare,
    sentLateP99Ms: loadSentLateMs.p99,
  });
  return {
    ratePerSecond: halfCapacity,
    machineBusyShare,
    loadSentLateMs,
    limits,
    ...summarizePairs(pairs, limits),
  };
}

/**
 * Pairs each upstream with the daemon of another service's VM in its zone, so that the caller's and the owner
 * daemon are two processes, as in a fleet. In a zone without such a VM, the upstream's own daemon is used. Daemons
 * prefer upstreams of their own zone, so all calls of a pair go to upstreams of the same service and zone. A
 * baseline proxy has no such preference.
 */
function pairTargets(system: SystemUnderTest): readonly PairTarget[] {
  const { vms } = system.mesh;
  return vms.map((vm, index) => {
    const otherVms = [...vms.slice(index + 1), ...vms.slice(0, index)];
    const caller = otherVms.find(({ zone, service }) =>
      zone === vm.zone && service !== vm.service
    ) ?? vm;
    return {
      service: vm.service,
      daemonUrl: system.callerUrl(caller),
      upstreamUrl: `http://${vm.address}:${vm.upstreamPort}`,
    };
  });
}
