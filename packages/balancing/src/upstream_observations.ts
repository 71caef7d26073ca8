import type { Vm } from "@tanagercove/types";
import { type Clock, systemClock } from "./clock.ts";
import { decideEjection } from "./ejection.ts";
import type { ReportedLoad } from "./load_hint.ts";

/**
 * How a request to an upstream ended, as evidence about that upstream.
 *
 * - `ok`: it answered, whatever the status.
 * - `failed`: no connection, a broken connection, a truncated response or silence.
 * - `cancelled`: the caller went away first, which says nothing about the upstream.
 * - `not_run`: it is alive and refused (`queue_full`, `queue_timeout`, `shed`, `leaving`, `starting`).
 *
 * A refused connection is `failed` although the request's outcome is `not_run`.
 */
export type UpstreamResult = "ok" | "failed" | "not_run" | "cancelled";

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
}

type MutableState = { -readonly [K in keyof UpstreamState]: UpstreamState[K] };

/** Options of `UpstreamObservations`. */
export interface UpstreamObservationsOptions {
  readonly clock?: Clock;
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
  readonly #states = new Map<string, MutableState>();
  #stateByListedVm = new Map<string, Vm["state"]>();

  constructor({ clock = systemClock }: UpstreamObservationsOptions = {}) {
    this.#clock = clock;
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
    RECORDERS[result](state, { nowMs: this.#clock.nowMs(), latencyMs });
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

// The latency of a failure is left out of the average: an upstream that fails
// at once would otherwise look fast and attract requests.
function recordFailure(state: MutableState, { nowMs }: EndOfRequest): void {
  // Requests sent before the ejection say nothing new.
  if (nowMs < state.ejectedUntilMs) return;
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
  };
}
