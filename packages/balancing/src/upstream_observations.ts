import type { Vm } from "@tanagercove/types";
import { type Clock, systemClock } from "./clock.ts";
import {
  BRIEF_EJECTION_MS,
  decideEjection,
  ejectionEndMs,
} from "./ejection.ts";
import type { ReportedLoad } from "./load_hint.ts";

/**
 * How a request to an upstream ended, as far as it shows the state of the upstream.
 *
 * - `ok`: the upstream answered, with any status.
 * - `failed`: the connection broke, the response was truncated, or no response arrived.
 * - `unreachable`: no connection could be opened, either to the owner daemon (the one on the upstream's VM) or from
 *   there to the upstream.
 * - `cancelled`: the caller disconnected first, which shows nothing about the upstream.
 * - `silent`: the owner daemon refused the request because the upstream answers no requests (`upstream_silent`).
 * - `not_run`: the request was refused for any other reason, such as `queue_full`, `queue_timeout`, `shed`, `leaving`
 *   or `starting`.
 *
 * After a refused connection the result is `unreachable`, although the caller is told the outcome `not_run`.
 */
export type UpstreamResult =
  | "ok"
  | "failed"
  | "unreachable"
  | "silent"
  | "not_run"
  | "cancelled";

/** The end of a request to an upstream. */
export interface UpstreamEnd {
  readonly result: UpstreamResult;
  readonly latencyMs: number;
}

/** What this daemon has observed of one upstream. */
export interface UpstreamState {
  /** Requests of this daemon in flight to the upstream. */
  readonly inFlight: number;
  /** Moving average over answered requests; undefined before the first answer. */
  readonly latencyMs: number | undefined;
  readonly latencyAtMs: number;
  /** When the upstream appeared in the VM list or became live again. */
  readonly appearedMs: number;
  readonly reportedLoad: ReportedLoad | undefined;
  readonly refusedAtMs: number;
  readonly consecutiveFailures: number;
  readonly ejections: number;
  readonly ejectedUntilMs: number;
  /** End of the short ejection after the result `unreachable` or `silent`. */
  readonly brieflyEjectedUntilMs: number;
  /** Start of the first ejection since the last return (see `EjectionChange`); undefined if there was none. */
  readonly ejectedSinceMs: number | undefined;
}

/** Why an upstream was ejected. */
export type EjectionCause = "connect_failed" | "failures" | "upstream_silent";

/** An ejection, or the return of the upstream: its first answer after the ejection has ended. */
export type EjectionChange =
  | {
    readonly kind: "ejected";
    readonly vmId: string;
    readonly cause: EjectionCause;
  }
  | {
    readonly kind: "returned";
    readonly vmId: string;
    /** Time since the change to `ejected`. */
    readonly ejectedMs: number;
  };

type MutableState = { -readonly [K in keyof UpstreamState]: UpstreamState[K] };

/** Options of `UpstreamObservations`. */
export interface UpstreamObservationsOptions {
  readonly clock?: Clock;
  /** Called when an upstream is ejected and when it returns, but not for further ejections before it returns. */
  readonly onChange?: (change: EjectionChange) => void;
}

/**
 * Weight of a new sample in the average, which thus covers about the last ten requests and follows a slowdown
 * within a second.
 */
const LATENCY_SAMPLE_WEIGHT = 0.2;

/** Lower limit of a sample. Lower latencies are timer noise and would let one upstream win every comparison. */
const MIN_LATENCY_MS = 0.1;

/** Age of the last answer after which the average is stale. */
export const LATENCY_MAX_AGE_MS = 10_000;

/** Records what this daemon observes of each upstream. */
export class UpstreamObservations {
  readonly #clock: Clock;
  readonly #onChange: (change: EjectionChange) => void;
  readonly #states = new Map<string, MutableState>();
  #stateByListedVm = new Map<string, Vm["state"]>();

  constructor(
    { clock = systemClock, onChange = () => {} }: UpstreamObservationsOptions =
      {},
  ) {
    this.#clock = clock;
    this.#onChange = onChange;
  }

  /** Number of upstreams for which `get` returns a state. */
  get size(): number {
    return this.#states.size;
  }

  /**
   * Sets the VM list in force. Removes the state of VMs that are not in it once
   * their last request has ended. Resets the state of VMs that are new or live
   * again, so that their slow start begins; only requests in flight stay counted.
   */
  setVms(vms: readonly Vm[]): void {
    const previousStates = this.#stateByListedVm;
    this.#stateByListedVm = new Map(vms.map((vm) => [vm.id, vm.state]));
    for (const vm of vms) {
      if (previousStates.get(vm.id) === "live") continue;
      if (vm.state === "live") this.#restart(vm.id);
    }
    for (const [vmId, state] of this.#states) {
      if (state.inFlight === 0) this.#dropUnlisted(vmId);
    }
  }

  /** Records the start of a request. */
  begin(vmId: string): void {
    this.#stateOf(vmId).inFlight += 1;
  }

  /** Records the end of a request; ignored for an upstream without state. */
  end(vmId: string, { result, latencyMs }: UpstreamEnd): void {
    const state = this.#states.get(vmId);
    if (state === undefined) return;
    state.inFlight = Math.max(0, state.inFlight - 1);
    const nowMs = this.#clock.nowMs();
    RECORDERS[result](state, { nowMs, latencyMs });
    this.#reportChange(vmId, { result, nowMs });
    if (state.inFlight === 0) this.#dropUnlisted(vmId);
  }

  /** Records a reported load, 0 to 1; ignored if it is NaN or the upstream has no state. */
  reportLoad(vmId: string, load: number): void {
    const state = this.#states.get(vmId);
    if (state === undefined || Number.isNaN(load)) return;
    state.reportedLoad = { load, atMs: this.#clock.nowMs() };
  }

  /**
   * Returns the state of an upstream, or undefined. A state exists from the first request, or the first time that the
   * upstream is listed as live, until the upstream is no longer listed and has no request in flight.
   */
  get(vmId: string): UpstreamState | undefined {
    return this.#states.get(vmId);
  }

  /** Returns the ids of the ejected upstreams, without the limit that `ejectedUpstreams` applies. */
  ejected(): readonly string[] {
    const nowMs = this.#clock.nowMs();
    return [...this.#states]
      .filter(([, state]) => ejectionEndMs(state) > nowMs)
      .map(([vmId]) => vmId);
  }

  #reportChange(
    vmId: string,
    { result, nowMs }: {
      readonly result: UpstreamResult;
      readonly nowMs: number;
    },
  ): void {
    const state = this.#states.get(vmId)!;
    const { ejectedSinceMs } = state;
    const isEjected = ejectionEndMs(state) > nowMs;
    if (ejectedSinceMs !== undefined) {
      if (result !== "ok" || isEjected) return;
      state.ejectedSinceMs = undefined;
      const ejectedMs = nowMs - ejectedSinceMs;
      return this.#onChange({ kind: "returned", vmId, ejectedMs });
    }
    if (!isEjected) return;
    state.ejectedSinceMs = nowMs;
    const cause = EJECTION_CAUSES[result] ?? "failures";
    this.#onChange({ kind: "ejected", vmId, cause });
  }

  #stateOf(vmId: string): MutableState {
    const existing = this.#states.get(vmId);
    if (existing !== undefined) return existing;
    const state = emptyState(this.#clock.nowMs());
    this.#states.set(vmId, state);
    return state;
  }

  #restart(vmId: string): void {
    const inFlight = this.#states.get(vmId)?.inFlight ?? 0;
    const state = { ...emptyState(this.#clock.nowMs()), inFlight };
    this.#states.set(vmId, state);
  }

  #dropUnlisted(vmId: string): void {
    if (!this.#stateByListedVm.has(vmId)) this.#states.delete(vmId);
  }
}

const EJECTION_CAUSES: Readonly<
  Partial<Record<UpstreamResult, EjectionCause>>
> = { silent: "upstream_silent", unreachable: "connect_failed" };

interface RequestEnd {
  readonly nowMs: number;
  readonly latencyMs: number;
}

const RECORDERS: Record<
  UpstreamResult,
  (state: MutableState, end: RequestEnd) => void
> = {
  ok: recordAnswer,
  failed: recordFailure,
  cancelled: () => {},
  silent: recordSilence,
  unreachable: recordUnreachable,
  // A refusal shows that the owner daemon is alive but not that the upstream can
  // serve requests, so it neither counts as a failure nor resets the count.
  not_run: (state, { nowMs }) => {
    state.refusedAtMs = nowMs;
  },
};

function recordAnswer(
  state: MutableState,
  { nowMs, latencyMs }: RequestEnd,
): void {
  state.consecutiveFailures = 0;
  if (!Number.isFinite(latencyMs)) return;
  const sample = Math.max(MIN_LATENCY_MS, latencyMs);
  const previousMs = currentLatencyMs(state, nowMs) ?? sample;
  state.latencyMs = previousMs + (sample - previousMs) * LATENCY_SAMPLE_WEIGHT;
  state.latencyAtMs = nowMs;
}

// The owner daemon sees the requests of all callers and sends trial requests, so
// its refusal replaces this daemon's failure count. Ejections based on that count
// would become too long for an upstream that answers again.
function recordSilence(state: MutableState, { nowMs }: RequestEnd): void {
  state.consecutiveFailures = 0;
  state.brieflyEjectedUntilMs = nowMs + BRIEF_EJECTION_MS;
}

// One refused connection is enough to eject: further connections to a killed
// upstream are refused too, and five consecutive failures would use up the retry
// budget. Refused connections also count as failures, so that an upstream is
// tried less and less often during a long outage.
function recordUnreachable(state: MutableState, end: RequestEnd): void {
  recordFailure(state, end);
  state.brieflyEjectedUntilMs = end.nowMs + BRIEF_EJECTION_MS;
}

// The latency of a failure does not enter the average: an upstream that fails
// immediately would otherwise look fast and attract requests.
function recordFailure(state: MutableState, { nowMs }: RequestEnd): void {
  // Most failures during an ejection are of requests sent before it, which show nothing new.
  if (nowMs < ejectionEndMs(state)) return;
  state.consecutiveFailures += 1;
  const ejection = decideEjection({ ...state, nowMs });
  if (ejection === undefined) return;
  state.ejections = ejection.ejections;
  state.ejectedUntilMs = ejection.ejectedUntilMs;
}

/** Returns the latency average, or undefined if there is none or it is stale. */
export function currentLatencyMs(
  state: UpstreamState | undefined,
  nowMs: number,
): number | undefined {
  if (state === undefined) return undefined;
  const isStale = nowMs - state.latencyAtMs > LATENCY_MAX_AGE_MS;
  return isStale ? undefined : state.latencyMs;
}

function emptyState(nowMs: number): MutableState {
  return {
    inFlight: 0,
    latencyMs: undefined,
    latencyAtMs: -Infinity,
    appearedMs: nowMs,
    reportedLoad: undefined,
    refusedAtMs: -Infinity,
    consecutiveFailures: 0,
    ejections: 0,
    ejectedUntilMs: -Infinity,
    brieflyEjectedUntilMs: -Infinity,
    ejectedSinceMs: undefined,
  };
}
