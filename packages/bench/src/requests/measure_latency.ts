import {
  type Percentiles,
  percentilesOf,
  round,
} from "../common/statistics.ts";
import { ADDED_P99_MAX_MS, type BarResult, judge, notJudged } from "./bars.ts";
import { measureMachineLoad, measurementLimits } from "./machine_load.ts";
import type { PairTarget } from "./probe_pairs.ts";
import { CUSTOMER, type SystemUnderTest } from "./system.ts";
import { probePairsInProcess } from "./worker.ts";

const PAIRS_PER_SECOND = 100;
/** Fewer pairs put less than 5 values beyond the 99th percentile. */
const MIN_PAIRS = 500;
const MIN_DURATION_MS = 7_000;

/** Latencies of direct calls and of calls through daemons or proxies, in milliseconds. */
export interface LatencyResult {
  readonly ratePerSecond: number;
  readonly pairs: number;
  readonly pairsNotAnswered: number;
  readonly machineBusyShare: number;
  /** What makes the result say little about the system. */
  readonly limits: readonly string[];
  readonly directMs: Percentiles;
  readonly daemonMs: Percentiles;
  /** Differences of the percentiles. */
  readonly addedP50Ms: number;
  readonly addedP99Ms: number;
  /** Percentiles of the differences within pairs. */
  readonly pairwiseDifferenceMs: Percentiles;
  readonly bars: readonly BarResult[];
}

/** Measures what the daemons add at half capacity, in pairs with direct calls. */
export async function measureLatency(
  system: SystemUnderTest,
): Promise<LatencyResult> {
  const { plan } = system;
  const durationMs = Math.max(MIN_DURATION_MS, plan.measuredMs);
  const halfCapacity = plan.capacityPerSecond / 2;
  const machineLoad = measureMachineLoad();
  const [pairs, calls] = await Promise.all([
    probePairsInProcess({
      targets: pairTargets(system),
      customer: CUSTOMER,
      pairsPerSecond: PAIRS_PER_SECOND,
      durationMs,
      deadlineMs: plan.deadlineMs,
      seed: plan.seed,
    }),
    system.load({
      ratePerSecond: halfCapacity - 2 * PAIRS_PER_SECOND,
      durationMs,
    }),
  ]);
  const machineBusyShare = round(machineLoad());
  const complete = pairs.flatMap(({ directMs, daemonMs }) =>
    directMs === undefined || daemonMs === undefined
      ? []
      : [{ directMs, daemonMs }]
  );
  const direct = percentilesOf(complete.map(({ directMs }) => directMs));
  const daemon = percentilesOf(complete.map(({ daemonMs }) => daemonMs));
  const addedP99Ms = round(daemon.p99 - direct.p99);
  const bar = `p99 added at half capacity <= ${ADDED_P99_MAX_MS} ms`;
  return {
    ratePerSecond: halfCapacity,
    pairs: pairs.length,
    machineBusyShare,
    limits: measurementLimits({
      machineBusyShare,
      sentLateP99Ms: percentilesOf(calls.map(({ sentLateMs }) =>
        sentLateMs
      )).p99,
    }),
    pairsNotAnswered: pairs.length - complete.length,
    directMs: direct,
    daemonMs: daemon,
    addedP50Ms: round(daemon.p50 - direct.p50),
    addedP99Ms,
    pairwiseDifferenceMs: percentilesOf(
      complete.map(({ directMs, daemonMs }) => daemonMs - directMs),
    ),
    bars: [
      complete.length < MIN_PAIRS
        ? notJudged(bar, `${complete.length} pairs`)
        : judge(bar, addedP99Ms <= ADDED_P99_MAX_MS),
    ],
  };
}

/**
 * Pairs each upstream with the daemon on its VM. That daemon prefers upstreams of its own zone, so both
 * calls of a pair go to the same upstream or to one of the same service and zone.
 */
function pairTargets(system: SystemUnderTest): readonly PairTarget[] {
  return system.mesh.vms.map((vm) => ({
    service: vm.service,
    daemonUrl: system.callerUrl(vm),
    upstreamUrl: `http://${vm.address}:${vm.upstreamPort}`,
  }));
}
