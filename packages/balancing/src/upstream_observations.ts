import type { Vm } from "@tanagercove/types";
import { type Clock, systemClock } from "./clock.ts";
import {
  BRIEF_EJECTION_MS,
  decideEjection,
  ejectionEndMs,
} from "./ejection.ts";
import type { ReportedLoad } from "./load_hint.ts";

/**
 * How a request to an upstream ended, as evidence about that upstream.
 *
 * - `ok`: it answered, whatever the status.
 * - `failed`: a broken connection, a truncated response or silence.
 * - `unreachable`: no connection could be opened, to its daemon or from its daemon to it.
 * - `cancelled`: the caller went away first, which says nothing about the upstream.
 * - `silent`: its owner daemon refused the request because the upstream answers none (`upstream_silent`).
 * - `not_run`: it is alive and refused (`queue_full`, `queue_timeout`, `shed`, `leaving`, `starting`).
 *
 * A refused connection is `unreachable` although the request's outcome is `not_run`.
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

/** What a daemon knows about one upstream. */
export interface UpstreamState {
  /** Requests of this daemon that run there now. */
  readonly inFlight: number;
  /** Moving average over answered requests; undefined before the first. */
  readonly latencyMs: number | undefined;
  readonly latencyAtMs: number;
  /** When the upstream appeared in the VM list or became live again. */
  readonly appearedMs: number;
  readonly reportedLoad: ReportedLoad | undefined;
  readonly refusedAtMs: number;
  readonly consecutiveFailures: number;
  readonly ejections: number;
  readonly ejectedUntilMs: number;
  /** End of the ejection that follows from a refused connection or the owner daemon's verdict. */
  readonly brieflyEjectedUntilMs: number;
  /** When the first ejection since the last answer began; undefined if there is none. */
  readonly ejectedSinceMs: number | undefined;
}

/** Why an upstream was ejected. */
export type EjectionCause = "connect_failed" | "failures" | "upstream_silent";

/** An ejection, or the first answer after its end. */
export type EjectionChange =
  | {
    readonly kind: "ejected";
    readonly vmId: string;
    readonly cause: EjectionCause;
  }
  | {
    readonly kind: "returned";
    readonly vmId: string;
    /** Time since the first ejection. */
    readonly ejectedMs: number;
  };

type MutableState = { -readonly [K in keyof UpstreamState]: UpstreamState[K] };

/** Options of `UpstreamObservations`. */
export interface UpstreamObservationsOptions {
  readonly clock?: Clock;
  /** Called at the first ejection since an answer, and at the first answer after its end. */
  readonly onChange?: (change: EjectionChange) => void;
}

/** Weight of a new sample: an average of about the last ten requests follows a slowdown within a second. */
const LATENCY_SAMPLE_WEIGHT = 0.2;

/** Latencies below this are timer noise and would let one upstream win every comparison. */
const MIN_LATENCY_MS = 0.1;

/** After this time without an answer the average says nothing about the present. */
export const LATENCY_MAX_AGE_MS = 10_000;

/** Records what this daemon sees of each upstream. */
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

  /** Number of upstreams with state: those listed and those with a request in flight. */
  get size(): number {
    return this.#states.size;
  }

  /**
   * Takes the VM list in force. Drops the state of VMs that are not in it, once
   * their last request has ended, and lets new and returned VMs start slowly.
   */
  setVms(vms: readonly Vm[]): void {
    const before = this.#stateByListedVm;
    this.#stateByListedVm = new Map(vms.map((vm) => [vm.id, vm.state]));
    for (const vm of vms) {
      if (before.get(vm.id) === "live") continue;
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

  /** Records the end of a request. Ignored for an upstream without state. */
  end(vmId: string, { result, latencyMs }: UpstreamEnd): void {
    const state = this.#states.get(vmId);
    if (state === undefined) return;
    state.inFlight = Math.max(0, state.inFlight - 1);
    const nowMs = this.#clock.nowMs();
    RECORDERS[result](state, { nowMs, latencyMs });
    this.#noticeChange(vmId, { result, nowMs });
    if (state.inFlight === 0) this.#dropUnlisted(vmId);
  }

  /** Records a reported load, 0 to 1. Ignored if it is not a number or the VM is not listed. */
  reportLoad(vmId: string, load: number): void {
    const state = this.#states.get(vmId);
    if (state === undefined || Number.isNaN(load)) return;
    state.reportedLoad = { load, atMs: this.#clock.nowMs() };
  }

  /** Returns what is known about an upstream, or undefined before it was listed or called. */
  get(vmId: string): UpstreamState | undefined {
    return this.#states.get(vmId);
  }

  /** Returns the ids of the upstreams that are ejected now, before the bound of `ejectedUpstreams`. */
  ejected(): readonly string[] {
    const nowMs = this.#clock.nowMs();
    return [...this.#states]
      .filter(([, state]) => ejectionEndMs(state) > nowMs)
      .map(([vmId]) => vmId);
  }

  #noticeChange(
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
    const known = this.#states.get(vmId);
    if (known !== undefined) return known;
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

interface EndOfRequest {
  readonly nowMs: number;
  readonly latencyMs: number;
}

const RECORDERS: Record<
  UpstreamResult,
  (state: MutableState, end: EndOfRequest) => void
> = {
  ok: recordAnswer,
  failed: recordFailure,
  cancelled: () => {},
  silent: recordSilence,
  unreachable: recordUnreachable,
  // A refusal shows that the upstream is alive but not that it can serve, so
  // it neither adds to the failures nor clears them.
  not_run: (state, { nowMs }) => {
    state.refusedAtMs = nowMs;
  },
};

function recordAnswer(
  state: MutableState,
  { nowMs, latencyMs }: EndOfRequest,
): void {
  state.consecutiveFailures = 0;
  if (!Number.isFinite(latencyMs)) return;
  const sample = Math.max(MIN_LATENCY_MS, latencyMs);
  const before = currentLatencyMs(state, nowMs) ?? sample;
  state.latencyMs = before + (sample - before) * LATENCY_SAMPLE_WEIGHT;
  state.latencyAtMs = nowMs;
}

// The owner daemon sees all callers' requests and tries the upstream itself, so
// its verdict replaces this daemon's own count, whose ejections grow too long
// for an upstream that answers again.
function recordSilence(state: MutableState, { nowMs }: EndOfRequest): void {
  state.consecutiveFailures = 0;
  state.brieflyEjectedUntilMs = nowMs + BRIEF_EJECTION_MS;
}

// Each further connection to a killed upstream is refused too and costs a retry
// of a budget that five failures in a row would empty, so one is enough. They
// count as failures as well, so that a lasting outage is tried less and less.
function recordUnreachable(state: MutableState, end: EndOfRequest): void {
  recordFailure(state, end);
  state.brieflyEjectedUntilMs = end.nowMs + BRIEF_EJECTION_MS;
}

// The latency of a failure is left out of the average: an upstream that fails
// at once would otherwise look fast and attract requests.
function recordFailure(state: MutableState, { nowMs }: EndOfRequest): void {
  // Requests sent before the ejection say nothing new.
  if (nowMs < ejectionEndMs(state)) return;
  state.consecutiveFailures += 1;
  const ejection = decideEjection({ ...state, nowMs });
  if (ejection === undefined) return;
  state.ejections = ejection.ejections;
  state.ejectedUntilMs = ejection.ejectedUntilMs;
}

/** Returns the latency average, or undefined if there is none or it is too old. */
export function currentLatencyMs(
  state: UpstreamState | undefined,
  nowMs: number,
): number | undefined {
  if (state === undefined) return undefined;
  const isOld = nowMs - state.latencyAtMs > LATENCY_MAX_AGE_MS;
  return isOld ? undefined : state.latencyMs;
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
