import type { Vm } from "@tanagercove/types";
import { ejectedUpstreams, ejectionEndMs } from "./ejection.ts";
import { loadHint } from "./load_hint.ts";
import { slowStartShare } from "./slow_start.ts";
import {
  currentLatencyMs,
  type UpstreamObservations,
  type UpstreamState,
} from "./upstream_observations.ts";

/** Options of `chooseUpstream`. */
export interface ChooseUpstreamOptions {
  /** The VMs of one service, in all zones. */
  readonly candidates: readonly Vm[];
  readonly observations: UpstreamObservations;
  readonly ownZone: string;
  /** Ids of VMs that must not be chosen: leaving ones, and usually those to which this request was already sent. */
  readonly exclude: ReadonlySet<string>;
  /** Current time of the clock that `observations` uses. */
  readonly nowMs: number;
  /** Returns a number from 0 (included) to 1 (excluded). */
  readonly random: () => number;
  /** Number of this daemon's requests in flight at which an upstream counts as saturated. */
  readonly saturatedInFlight?: number;
  /** Time until a new upstream gets its full share of requests. */
  readonly slowStartMs?: number;
}

/**
 * Default for `saturatedInFlight`: the slots of the smallest upstreams. With that
 * many requests of this daemon in flight, the next one waits until one of them
 * releases its slot, longer than the 1 to 1.5 ms to another zone.
 */
export const SATURATED_IN_FLIGHT = 10;

/**
 * How long an upstream counts as saturated after a refusal. Only the owner daemon
 * sees the requests of all callers, so its refusal is better evidence than any
 * estimate, but it is out of date after a few service times.
 */
export const SATURATED_AFTER_REFUSAL_MS = 100;

/**
 * Chooses the upstream for one request; undefined if all live ones are excluded.
 *
 * Unsaturated upstreams in the local zone are preferred, then unsaturated ones in
 * other zones, then saturated ones, those in the local zone first. If more than half
 * of the service failed, some ejections do not apply; these upstreams are chosen once
 * the others are saturated. An ejected upstream is chosen only if no other is left,
 * because an attempt is better than a certain refusal. Within a group the better of
 * two random upstreams is chosen.
 */
export function chooseUpstream(options: ChooseUpstreamOptions): Vm | undefined {
  const live = options.candidates.filter((vm) => vm.state === "live");
  const notExcluded = live.filter((vm) => !options.exclude.has(vm.id));
  const ejected = ejectedUpstreams({ ...options, candidates: live });
  const serving = notExcluded.filter((vm) => !ejected.has(vm.id));
  const unsaturated = serving.filter((vm) => !isSaturated(vm, options));
  const answering = unsaturated.filter((vm) =>
    ejectionEndMs(options.observations.get(vm.id)) <= options.nowMs
  );
  const isLocal = (vm: Vm) => vm.zone === options.ownZone;
  const groups = [
    answering.filter(isLocal),
    answering,
    unsaturated.filter(isLocal),
    unsaturated,
    serving.filter(isLocal),
    serving,
    notExcluded,
  ];
  const group = groups.find((group) => group.length > 0);
  return group && betterOfTwo(filterBySlowStart(group, options), options);
}

function isSaturated(vm: Vm, options: ChooseUpstreamOptions): boolean {
  const state = options.observations.get(vm.id);
  if (state === undefined) return false;
  const limit = options.saturatedInFlight ?? SATURATED_IN_FLIGHT;
  const sinceRefusalMs = options.nowMs - state.refusedAtMs;
  return state.inFlight >= limit ||
    sinceRefusalMs < SATURATED_AFTER_REFUSAL_MS;
}

/**
 * Excludes upstreams in slow start from some choices, and from fewer choices as
 * their share grows. Shares are relative to the largest one in the group, so that a
 * group of equally new upstreams is not reduced.
 */
function filterBySlowStart(
  group: readonly Vm[],
  { observations, nowMs, random, slowStartMs }: ChooseUpstreamOptions,
): readonly Vm[] {
  const shares = group.map((vm) =>
    slowStartShare({
      startedMs: slowStartedMs(observations.get(vm.id), nowMs),
      nowMs,
      slowStartMs,
    })
  );
  const largest = Math.max(...shares);
  return group.filter((_, i) =>
    shares[i] === largest || random() < shares[i]! / largest
  );
}

function slowStartedMs(
  state: UpstreamState | undefined,
  nowMs: number,
): number {
  if (state === undefined) return nowMs;
  return Math.max(state.appearedMs, state.ejectedUntilMs);
}

function betterOfTwo(
  group: readonly Vm[],
  { observations, nowMs, random }: ChooseUpstreamOptions,
): Vm {
  const first = Math.floor(random() * group.length);
  const a = group[first]!;
  if (group.length === 1) return a;
  const step = 1 + Math.floor(random() * (group.length - 1));
  const b = group[(first + step) % group.length]!;
  const [stateA, stateB] = [observations.get(a.id), observations.get(b.id)];
  const latencyA = currentLatencyMs(stateA, nowMs);
  const latencyB = currentLatencyMs(stateB, nowMs);
  // An upstream without a current average is assumed to be as fast as the other one.
  const scoreA = score(stateA, { latencyMs: latencyA ?? latencyB ?? 1, nowMs });
  const scoreB = score(stateB, { latencyMs: latencyB ?? latencyA ?? 1, nowMs });
  return scoreB < scoreA ? b : a;
}

function score(
  state: UpstreamState | undefined,
  { latencyMs, nowMs }: { readonly latencyMs: number; readonly nowMs: number },
): number {
  const inFlight = state?.inFlight ?? 0;
  const hint = loadHint({ reported: state?.reportedLoad, nowMs });
  return (inFlight + 1) * latencyMs * hint;
}
