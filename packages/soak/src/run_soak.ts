import { setTimeout as sleep } from "node:timers/promises";
import { seededRandom } from "@tanagercove/emulator";
import {
  applyFault,
  CUTS_VM,
  DELAYS_PROPAGATION,
  type EndFault,
  faultDurationMs,
  type FaultTarget,
} from "./apply_fault.ts";
import { DEADLINE_MS, runCaller, sendCall } from "./callers.ts";
import { type FaultKind, planFaults, type PlannedFault } from "./plan.ts";
import { findRunsAboveColdBound } from "./cold_bound.ts";
import type { SoakColdBounds, SoakPlatform } from "./ports.ts";
import {
  type AppliedFault,
  type CallRecord,
  type ColdInterval,
  type DaemonHalt,
  type EvacuationInterval,
  findChangedRequests,
  findFalseRefusals,
  findLateAnswers,
  findLateStarts,
  findMismatchedAnswers,
  findRequestsCutByStops,
  findSecondRuns,
  findStartsInEvacuatedZone,
  type LeavingInterval,
  type LimitInterval,
  type PromiseName,
  type Violation,
} from "./promises.ts";
import { SoakFleet, VM_COUNT } from "./soak_fleet.ts";
import {
  findRunsAboveLimit,
  findStartsAfterLeavingNotice,
  type NoticeContext,
} from "./upstream_notices.ts";
import { VersionWatch } from "./version_watch.ts";

/** Options of `runSoak`. */
export interface RunSoakOptions {
  readonly platform: SoakPlatform;
  readonly seed: number;
  /** Time during which faults start. */
  readonly durationMs?: number;
  readonly kinds?: readonly FaultKind[];
  /** Third octet of the run's loopback addresses; runs at the same time need different ones. */
  readonly addressBlock?: number;
  readonly onProgress?: (text: string) => void;
}

/** A broken promise, and some of the daemons' log lines that contain its `subject`. */
export interface ReportedViolation extends Violation {
  readonly log: readonly string[];
}

/** Result of one seed. */
export interface SoakReport {
  readonly seed: number;
  readonly faults: number;
  readonly calls: number;
  readonly answered: number;
  readonly runs: number;
  readonly violations: readonly ReportedViolation[];
}

/** Documented bound: time after the last fault until every request is answered again. */
export const SERVED_AGAIN_BOUND_MS = 5_000;

/** For at least this long after `SERVED_AGAIN_BOUND_MS`, requests are sent that must all be answered. */
const STEADY_MS = 2_000;

const DEFAULT_DURATION_MS = 20_000;
const READY_TIMEOUT_MS = 20_000;
const CALLERS_PER_VM = 3;
const DEFAULT_ADDRESS_BLOCK = 200;
const LOG_LINES = 8;

/** Greatest number of violations of one promise in a report; further ones rarely add information. */
const MAX_SHOWN_PER_PROMISE = 5;

/** Injects the faults of one seed into real daemons and checks the promises. */
export async function runSoak(options: RunSoakOptions): Promise<SoakReport> {
  const { platform, seed, durationMs = DEFAULT_DURATION_MS } = options;
  const progress = options.onProgress ?? (() => {});
  const fleet = new SoakFleet(platform);
  const stop = new AbortController();
  try {
    await fleet.start(options.addressBlock ?? DEFAULT_ADDRESS_BLOCK);
    const calls: CallRecord[] = [];
    const versions = new VersionWatch({
      platform,
      daemons: fleet.daemons,
      onCall: (call) => void calls.push(call),
      signal: stop.signal,
    });
    const publishNext = () => {
      const version = versions.newest + 1;
      fleet.store.publish(version);
      versions.recordPublished(version);
    };
    publishNext();
    await waitUntilReady(fleet, platform);
    progress("ready");
    const load = startLoad({
      ...options,
      fleet,
      versions,
      onCall: (call) => void calls.push(call),
      signal: stop.signal,
    });
    const plan = planFaults({
      seed,
      durationMs,
      vmCount: VM_COUNT,
      kinds: options.kinds,
    });
    const target: FaultTarget = {
      fleet,
      leaving: [],
      draining: new Set<number>(),
      evacuations: [],
      evacuated: new Set<string>(),
      isStoreCopied: false,
      limits: [],
      limited: new Set<number>(),
      coldTimes: [],
      cold: new Set<number>(),
      renewed: new Set<number>(),
      publishNext,
    };
    const faults = await injectFaults(target, { plan, progress });
    progress("all faults have ended");
    const faultsEndedAtMs = performance.now();
    publishNext();
    await sleep(SERVED_AGAIN_BOUND_MS + STEADY_MS + DEADLINE_MS);
    stop.abort();
    await load;
    const violations = findViolations({
      fleet,
      versions,
      calls,
      faults,
      faultsEndedAtMs,
      leaving: target.leaving,
      limits: target.limits,
      coldTimes: target.coldTimes,
      coldBounds: platform.coldBounds,
      evacuations: target.evacuations,
    });
    return {
      seed,
      faults: plan.length,
      calls: calls.length,
      answered: calls.filter(({ status }) => status === 200).length,
      runs: fleet.upstreams.reduce((sum, { runs }) => sum + runs.length, 0),
      violations: limitPerPromise(violations).map((violation) => ({
        ...violation,
        log: fleet.logLines(violation.subject, LOG_LINES),
      })),
    };
  } finally {
    stop.abort();
    await fleet.close();
  }
}

interface LoadOptions {
  readonly platform: SoakPlatform;
  readonly seed: number;
  readonly fleet: SoakFleet;
  readonly versions: VersionWatch;
  readonly onCall: (call: CallRecord) => void;
  readonly signal: AbortSignal;
}

/** Starts the callers and the version watch of each VM; resolves after the signal aborts. */
function startLoad(
  { platform, seed, fleet, versions, onCall, signal }: LoadOptions,
): Promise<unknown> {
  return Promise.all(fleet.daemons.flatMap((daemon, position) => [
    versions.watchDaemon(daemon),
    ...Array.from({ length: CALLERS_PER_VM }, (_, i) =>
      runCaller({
        platform,
        vm: daemon.vm,
        name: `s${seed}-${daemon.vm.id}-c${i}`,
        random: seededRandom(seed + position * 100 + i),
        isStopping: () => daemon.state === "stopping",
        newestInForce: () => versions.newestInForce,
        onCall,
        signal,
      })),
  ]));
}

interface ObservedRun {
  readonly fleet: SoakFleet;
  readonly versions: VersionWatch;
  readonly calls: readonly CallRecord[];
  readonly faults: readonly AppliedFault[];
  readonly faultsEndedAtMs: number;
  readonly leaving: readonly LeavingInterval[];
  readonly limits: readonly LimitInterval[];
  readonly coldTimes: readonly ColdInterval[];
  readonly coldBounds: SoakColdBounds;
  readonly evacuations: readonly EvacuationInterval[];
}

function findViolations(observed: ObservedRun): readonly Violation[] {
  const { fleet, versions, calls, faults, faultsEndedAtMs } = observed;
  const { leaving, limits, evacuations, coldTimes, coldBounds } = observed;
  const { halts, stops, upstreams } = fleet;
  const runs = upstreams.flatMap(({ runs }) => runs);
  const propagationFaults = faults.filter(({ fault }) =>
    DELAYS_PROPAGATION.has(fault.kind)
  );
  const runsOf = (upstreamId: string) =>
    upstreams.find(({ vmId }) => vmId === upstreamId)!.runs;
  const restarts = [...halts, ...stops];
  const excusedFromLeaving = { calls, allRuns: runs, excuses: restarts };
  const excusedFromLimits: NoticeContext = {
    calls,
    allRuns: runs,
    excuses: [...restarts, ...findCuts(fleet, faults)],
  };
  return [
    ...findSecondRuns(runs),
    ...findFalseRefusals(calls, runs),
    ...findMismatchedAnswers(calls),
    ...findChangedRequests(calls, runs),
    ...findLateAnswers(calls, { deadlineMs: DEADLINE_MS, halts }),
    ...findRequestsCutByStops(calls, { stops, halts }),
    ...upstreams.flatMap(({ vmId, runs }) =>
      findLateStarts(runs, vmId, { leaving, faults: propagationFaults })
    ),
    ...evacuations.flatMap((interval) =>
      findStartsInEvacuatedZone(
        upstreamsIn(fleet, interval.zone).flatMap(({ runs }) => runs),
        interval,
        // An evacuation that the store has lost holds until it is written again.
        propagationFaults.filter(({ fault }) =>
          fault.kind !== "return_older_store"
        ),
      )
    ),
    ...leaving.flatMap((interval) =>
      findStartsAfterLeavingNotice(
        runsOf(interval.upstreamId),
        interval,
        excusedFromLeaving,
      )
    ),
    ...limits.flatMap((limit) =>
      findRunsAboveLimit(runsOf(limit.upstreamId), limit, excusedFromLimits)
    ),
    ...coldTimes.flatMap((cold) =>
      findRunsAboveColdBound(runsOf(cold.upstreamId), cold, coldBounds)
    ),
    ...findOwnEnds(fleet),
    ...versions.violations,
    ...versions.findLateVersions(propagationFaults, performance.now()),
    ...findUnserved(calls, faultsEndedAtMs + SERVED_AGAIN_BOUND_MS),
  ];
}

/** Finds processes that ended by themselves. */
function findOwnEnds({ daemons }: SoakFleet): readonly Violation[] {
  return daemons
    .filter(({ state, process, log }) =>
      state === "running" && !process!.isRunning ||
      log.lines.some((line) => line.includes('"event":"invariant_broken"'))
    )
    .map(({ vm, process }) => ({
      promise: "process_goes_on",
      subject: vm.id,
      detail: `the process ended by itself, exit code ${process!.exitCode}`,
    }));
}

function upstreamsIn({ vms, upstreams }: SoakFleet, zone: string) {
  return upstreams.filter((_, i) => vms[i]!.zone === zone);
}

/** Returns the periods in which faults cut each VM off from others or slowed its links. */
function findCuts(
  { vms }: SoakFleet,
  faults: readonly AppliedFault[],
): readonly DaemonHalt[] {
  return faults
    .filter(({ fault }) => CUTS_VM.has(fault.kind))
    .flatMap(({ fault, fromMs, untilMs }) =>
      vms
        .filter((_, i) =>
          fault.kind === "cut_zone" || i === fault.vm || i === fault.otherVm
        )
        .map(({ id }) => ({ vmId: id, fromMs, untilMs }))
    );
}

async function waitUntilReady(
  { daemons }: SoakFleet,
  platform: SoakPlatform,
): Promise<void> {
  const untilMs = performance.now() + READY_TIMEOUT_MS;
  let attemptCount = 0;
  for (const { vm, log } of daemons) {
    for (;;) {
      const id = `ready-${vm.id}-${attemptCount += 1}`;
      const path = `/browse/${id}`;
      const call = await sendCall({ platform, vm, id, method: "GET", path });
      if (call.status === 200) break;
      if (performance.now() > untilMs) {
        throw new Error(
          `${vm.id} is not ready after ${READY_TIMEOUT_MS} ms: ${
            call.status ?? call.error
          }\n${log.lines.slice(-LOG_LINES).join("\n")}`,
        );
      }
      await sleep(100);
    }
  }
}

/** Starts and ends the faults at their planned times; resolves when all have ended. */
async function injectFaults(
  target: FaultTarget,
  { plan, progress }: {
    readonly plan: readonly PlannedFault[];
    readonly progress: (text: string) => void;
  },
): Promise<readonly AppliedFault[]> {
  const applied: AppliedFault[] = [];
  const startedAtMs = performance.now();
  const pending = plan.map(async (fault) => {
    await sleep(startedAtMs + fault.atMs - performance.now());
    progress(
      `${fault.kind} on vm-${fault.vm} for ${faultDurationMs(fault)} ms`,
    );
    const fromMs = performance.now();
    const end: EndFault = applyFault(target, fault);
    await sleep(faultDurationMs(fault));
    await end();
    applied.push({ fault, fromMs, untilMs: performance.now() });
  });
  await Promise.all(pending);
  return applied;
}

function findUnserved(
  calls: readonly CallRecord[],
  sinceMs: number,
): readonly Violation[] {
  return calls
    .filter(({ sentAtMs, status }) => sentAtMs >= sinceMs && status !== 200)
    .map(({ id, vmId, status, error }) => ({
      promise: "served_after_faults",
      subject: id,
      detail: `got ${status ?? error} from ${vmId}`,
    }));
}

function limitPerPromise(
  violations: readonly Violation[],
): readonly Violation[] {
  const counts = new Map<PromiseName, number>();
  return violations.filter(({ promise }) => {
    const count = (counts.get(promise) ?? 0) + 1;
    counts.set(promise, count);
    return count <= MAX_SHOWN_PER_PROMISE;
  });
}
