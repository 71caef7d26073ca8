import { AdmissionQueue, UpstreamWatch } from "@tanagercove/admission";
import {
  chooseUpstream,
  UpstreamObservations,
  type UpstreamResult,
} from "@tanagercove/balancing";
import { decideRetry, RetryBudget } from "@tanagercove/retries";
import { SeededRandom, VirtualClock } from "@tanagercove/test_helpers";
import type { Outcome, Reason, Vm } from "@tanagercove/types";
import { Latencies, type LatencySummary, round } from "./latencies.ts";

/** How callers choose an upstream. */
export type Choice = "round_robin" | "random" | "two_choices";

/** What upstreams report as their load. */
export type Reports = "none" | "honest" | "slow_reports_idle" | "all_lie";

/** How an upstream fails; an upstream that `hangs` answers no requests but still answers health probes. */
export type Failure = "refuses_connections" | "frozen" | "hangs";

/**
 * Where slots are counted: at the upstream itself, or at its owner daemon, with
 * or without the detection of a silent upstream.
 */
export type SimulatedDivision = "direct" | "owner" | "owner_without_watch";

/** Options of `simulateService`. */
export interface ServiceSimulationOptions {
  readonly seed: number;
  readonly durationMs: number;
  readonly upstreamCount: number;
  readonly callerCount: number;
  /** Offered load as a multiple of the capacity of all upstreams at normal speed. */
  readonly load: number;
  readonly choice: Choice;
  readonly reports: Reports;
  /** Factor on the service time of the first upstream. */
  readonly slowness: number;
  /** Number of upstreams, counted from the first, that fail during the middle third of the run. */
  readonly failingCount: number;
  readonly failure: Failure;
  readonly division: SimulatedDivision;
  readonly ejects: boolean;
  /** Without a budget each failed request is retried up to twice. */
  readonly hasBudget: boolean;
}

/** Figures of one phase of a run. */
export interface PhaseFigures extends LatencySummary {
  readonly requests: number;
  readonly attemptsPerRequest: number;
  /** Share of requests answered before the deadline. */
  readonly answered: number;
  /** Share of requests whose first attempt went to the first upstream. */
  readonly toFirstUpstream: number;
  /** Number of times that an owner daemon detected that its upstream was silent. */
  readonly silences: number;
  /** Requests that ended without an answer, by outcome and reason. */
  readonly unanswered: Readonly<Record<string, number>>;
}

/** Phases of a run: before, during and after the failure. */
export type Phase = "before" | "during" | "after";

const SLOTS = 10;
const MIN_SERVICE_MS = 5;
const MEAN_SERVICE_MS = 20;
const DEADLINE_MS = 1_000;
const HOP_MS = 0.5;
const REPORT_INTERVAL_MS = 1_000;
const PROBE_INTERVAL_MS = 1_000;
const SILENT_PROBE_INTERVAL_MS = 250;
const PROBE_TIMEOUT_MS = 500;
const PROBE_LATENCY_MS = 6;
const ZONE = "zone-a";

interface Attempt {
  readonly outcome: Outcome;
  readonly reason?: Reason;
}

interface Caller {
  readonly observations: UpstreamObservations;
  readonly budget: RetryBudget;
  nextIndex: number;
}

/** Runs callers against the upstreams of one service in virtual time. */
export async function simulateService(
  options: ServiceSimulationOptions,
): Promise<Readonly<Record<Phase, PhaseFigures>>> {
  const clock = new VirtualClock();
  const random = new SeededRandom(options.seed);
  const vms = Array.from(
    { length: options.upstreamCount },
    (_, i) => makeVm(i),
  );
  const queues = vms.map(() =>
    new AdmissionQueue({
      slots: SLOTS,
      queueOrder: "oldest_first",
      queueTimeoutMs: DEADLINE_MS,
      clock,
    })
  );
  const watches = queues.map((queue) =>
    new UpstreamWatch({
      slots: SLOTS,
      clock,
      onChange({ state }) {
        if (state === "answering") return;
        phases[phaseAt(clock.nowMs())].silences += 1;
        queue.refuseWaiting("upstream_silent");
      },
    })
  );
  const callers = Array.from(
    { length: options.callerCount },
    (_, i) => createCaller(clock, vms, i),
  );
  const phases = {
    before: createPhaseRecord(),
    during: createPhaseRecord(),
    after: createPhaseRecord(),
  };
  const arrivalsPerMs = options.load * vms.length * SLOTS / MEAN_SERVICE_MS;
  scheduleArrival();
  reportLoads();
  if (options.division === "owner") watches.forEach(startProbing);
  await clock.advance(options.durationMs);
  await clock.advance(DEADLINE_MS + 1);
  return {
    before: figuresOf(phases.before),
    during: figuresOf(phases.during),
    after: figuresOf(phases.after),
  };

  function scheduleArrival(): void {
    clock.setTimer(() => {
      if (clock.nowMs() >= options.durationMs) return;
      void send(callers[Math.floor(random.next() * callers.length)]!);
      scheduleArrival();
    }, random.exponential(1 / arrivalsPerMs));
  }

  function reportLoads(): void {
    for (const [i, vm] of vms.entries()) {
      const load = REPORTED_LOAD[options.reports](
        queues[i]!.runningCount / SLOTS,
        i,
      );
      if (load === undefined) continue;
      for (const { observations } of callers) {
        observations.reportLoad(vm.id, load);
      }
    }
    clock.setTimer(() => {
      if (clock.nowMs() < options.durationMs) reportLoads();
    }, REPORT_INTERVAL_MS);
  }

  /** Probes the health endpoint as the daemon does. */
  function startProbing(watch: UpstreamWatch, index: number): void {
    let timer: { cancel(): void } | undefined;
    const sendProbe = async () => {
      timer = undefined;
      watch.probeStarted();
      const isAnswered = !(isFailing(index) && options.failure === "frozen");
      await wait(isAnswered ? PROBE_LATENCY_MS : PROBE_TIMEOUT_MS);
      watch.probeEnded(isAnswered);
      if (clock.nowMs() >= options.durationMs) return;
      timer = clock.setTimer(
        () => void sendProbe(),
        watch.isSilent ? SILENT_PROBE_INTERVAL_MS : PROBE_INTERVAL_MS,
      );
    };
    watch.onProbeRequested(() => {
      if (timer === undefined) return;
      timer.cancel();
      void sendProbe();
    });
    // Daemons do not send their probes at the same time.
    timer = clock.setTimer(
      () => void sendProbe(),
      random.next() * PROBE_INTERVAL_MS,
    );
  }

  async function send(caller: Caller): Promise<void> {
    const sentAtMs = clock.nowMs();
    const phase = phases[phaseAt(sentAtMs)];
    const tried = new Set<string>();
    phase.requests += 1;
    caller.budget.recordFirstAttempt();
    for (let attempt = 1;; attempt += 1) {
      const vm = CHOICES[options.choice]({
        vms,
        caller,
        exclude: tried,
        nowMs: clock.nowMs(),
        random: random.next,
      });
      if (vm === undefined) return;
      if (attempt === 1 && vm === vms[0]) phase.toFirstUpstream += 1;
      tried.add(vm.id);
      phase.attempts += 1;
      const timeLeftMs = () => sentAtMs + DEADLINE_MS - clock.nowMs();
      const { outcome, reason } = await sendAttempt(vm, caller, timeLeftMs());
      if (outcome === "answered") {
        phase.answered += 1;
        phase.latencies.record(clock.nowMs() - sentAtMs);
        return;
      }
      const verdict = decideRetry({
        outcome,
        reason,
        idempotent: true,
        attempt,
        timeLeftMs: timeLeftMs(),
        budget: options.hasBudget ? caller.budget : { tryTake: () => true },
      });
      if (verdict === "give_up") {
        const key = `${outcome} ${reason}`;
        phase.unanswered[key] = (phase.unanswered[key] ?? 0) + 1;
        return;
      }
    }
  }

  async function sendAttempt(
    vm: Vm,
    { observations }: Caller,
    timeLeftMs: number,
  ): Promise<Attempt> {
    const startedAtMs = clock.nowMs();
    observations.begin(vm.id);
    const attempt = await run(vms.indexOf(vm), timeLeftMs);
    const latencyMs = clock.nowMs() - startedAtMs;
    const result = resultOf(attempt);
    // If `ejects` is false, the result `failed` is recorded as an answer of unknown latency, so that it causes no
    // ejection. The results `unreachable` and `silent` eject the upstream all the same.
    observations.end(
      vm.id,
      result === "failed" && !options.ejects
        ? { result: "ok", latencyMs: NaN }
        : { result, latencyMs },
    );
    return attempt;
  }

  async function run(index: number, timeLeftMs: number): Promise<Attempt> {
    await wait(HOP_MS);
    if (isFailing(index) && options.failure === "refuses_connections") {
      return { outcome: "not_run", reason: "connect_failed" };
    }
    if (isFailing(index) && options.division === "direct") {
      await wait(timeLeftMs - HOP_MS);
      return { outcome: "unknown", reason: "deadline" };
    }
    const deadlineAtMs = clock.nowMs() - HOP_MS + timeLeftMs;
    const watch = options.division === "owner" ? watches[index] : undefined;
    if (watch?.admits({ idempotent: true }) === false) {
      return { outcome: "not_run", reason: "upstream_silent" };
    }
    const verdict = await queues[index]!.admit({
      idempotent: true,
      deadlineMs: deadlineAtMs - clock.nowMs(),
    });
    if (verdict.isErr) return { outcome: "not_run", reason: verdict.error };
    const slowness = index === 0 ? options.slowness : 1;
    const serviceMs = slowness * (MIN_SERVICE_MS +
      random.exponential(MEAN_SERVICE_MS - MIN_SERVICE_MS));
    const remainingMs = deadlineAtMs - clock.nowMs();
    const hangs = isFailing(index);
    watch?.begin();
    await wait(hangs ? remainingMs : Math.min(serviceMs, remainingMs));
    const isLate = hangs || serviceMs > remainingMs;
    watch?.end(isLate ? "abandoned" : "answered", serviceMs);
    verdict.value.release();
    return isLate
      ? { outcome: "unknown", reason: "deadline" }
      : { outcome: "answered" };
  }

  function isFailing(index: number): boolean {
    return index < options.failingCount && phaseAt(clock.nowMs()) === "during";
  }

  function wait(ms: number): Promise<void> {
    return new Promise((resolve) => clock.setTimer(resolve, ms));
  }

  function phaseAt(nowMs: number): Phase {
    const third = Math.floor(3 * nowMs / options.durationMs);
    return (["before", "during"] as const)[third] ?? "after";
  }

  function createCaller(
    clock: VirtualClock,
    vms: readonly Vm[],
    nextIndex: number,
  ) {
    const observations = new UpstreamObservations({ clock });
    observations.setVms(vms);
    return { observations, budget: new RetryBudget(), nextIndex };
  }
}

interface ChoiceOptions {
  readonly vms: readonly Vm[];
  readonly caller: Caller;
  readonly exclude: ReadonlySet<string>;
  readonly nowMs: number;
  readonly random: () => number;
}

const CHOICES: Readonly<
  Record<Choice, (options: ChoiceOptions) => Vm | undefined>
> = {
  round_robin: ({ vms, caller }) => vms[caller.nextIndex++ % vms.length],
  random: ({ vms, random }) => vms[Math.floor(random() * vms.length)],
  two_choices: ({ vms, caller, ...rest }) =>
    chooseUpstream({
      ...rest,
      candidates: vms,
      observations: caller.observations,
      ownZone: ZONE,
    }),
};

/** Load that an upstream reports, computed from its true load and its index. */
const REPORTED_LOAD: Readonly<
  Record<Reports, (load: number, index: number) => number | undefined>
> = {
  none: () => undefined,
  honest: (load) => load,
  slow_reports_idle: (load, index) => index === 0 ? 0 : load,
  all_lie: (_, index) => index === 0 ? 0 : 1,
};

const REFUSALS: ReadonlySet<Reason> = new Set<Reason>([
  "queue_full",
  "queue_timeout",
  "shed",
  "leaving",
  "starting",
]);

function resultOf({ outcome, reason }: Attempt): UpstreamResult {
  if (outcome === "answered") return "ok";
  if (reason === "upstream_silent") return "silent";
  if (reason === "connect_failed") return "unreachable";
  return reason !== undefined && REFUSALS.has(reason) ? "not_run" : "failed";
}

interface PhaseRecord {
  requests: number;
  attempts: number;
  answered: number;
  toFirstUpstream: number;
  silences: number;
  readonly unanswered: Record<string, number>;
  readonly latencies: Latencies;
}

function createPhaseRecord(): PhaseRecord {
  return {
    requests: 0,
    attempts: 0,
    answered: 0,
    toFirstUpstream: 0,
    silences: 0,
    unanswered: {},
    latencies: new Latencies(),
  };
}

function figuresOf(phase: PhaseRecord): PhaseFigures {
  return {
    requests: phase.requests,
    attemptsPerRequest: round(phase.attempts / phase.requests),
    answered: round(phase.answered / phase.requests),
    toFirstUpstream: round(phase.toFirstUpstream / phase.requests),
    silences: phase.silences,
    unanswered: phase.unanswered,
    ...phase.latencies.summary(),
  };
}

function makeVm(index: number): Vm {
  return {
    id: `stockroom-${index}`,
    service: "stockroom",
    zone: ZONE,
    region: "region-1",
    address: `127.23.1.${index}`,
    callerPort: 8080,
    peerPort: 8081,
    upstreamPort: 8082,
    state: "live",
  };
}
