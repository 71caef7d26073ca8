import type { Vm } from "@tanagercove/types";
import { ejectedUpstreams } from "./ejection.ts";
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
  /** Ids of VMs that this request has already tried. */
  readonly exclude: ReadonlySet<string>;
  /** Time of the clock that `observations` uses. */
  readonly nowMs: number;
  /** Returns a number from 0 (included) to 1 (excluded). */
  readonly random: () => number;
  /** Own requests in flight at which an upstream counts as saturated. */
  readonly saturatedInFlight?: number;
  /** Time over which a started upstream reaches its full share. */
  readonly slowStartMs?: number;
}

/**
 * Slots of the smallest instances. With that many own requests there, the next
 * one waits at least a service time behind them, longer than the 1 to 1.5 ms to
 * another zone.
 */
export const SATURATED_IN_FLIGHT = 10;

/**
 * How long a refusal marks an upstream as saturated. Only the owner daemon
 * counts the requests of all callers, so its refusal is better evidence than
 * any estimate; some service times later it is out of date.
 */
export const SATURATED_AFTER_REFUSAL_MS = 100;

/**
 * Chooses the upstream for one request, or undefined if all live ones are excluded.
 *
 * Own zone before other zones, then saturated upstreams, then ejected ones,
 * because an attempt there is better than a certain refusal. Within a group the
 * better of two random upstreams is chosen.
 */
export function chooseUpstream(options: ChooseUpstreamOptions): Vm | undefined {
  const live = options.candidates.filter((vm) => vm.state === "live");
  const open = live.filter((vm) => !options.exclude.has(vm.id));
  const ejected = ejectedUpstreams({ ...options, candidates: live });
  const serving = open.filter((vm) => !ejected.has(vm.id));
  const free = serving.filter((vm) => !isSaturated(vm, options));
  const isOwn = (vm: Vm) => vm.zone === options.ownZone;
  const groups = [
    free.filter(isOwn),
    free,
    serving.filter(isOwn),
    serving,
    open,
  ];
  const group = groups.find((group) => group.length > 0);
  return group && betterOfTwo(takingPart(group, options), options);
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
 * Leaves out upstreams in slow start for most choices. The share is relative to
 * the warmest upstream, so that a group in which all are new is not thinned out.
 */
function takingPart(
  group: readonly Vm[],
  { observations, nowMs, random, slowStartMs }: ChooseUpstreamOptions,
): readonly Vm[] {
  const shares = group.map((vm) =>
    slowStartShare({
      startedMs: startOf(observations.get(vm.id), nowMs),
      nowMs,
      slowStartMs,
    })
  );
  const largest = Math.max(...shares);
  return group.filter((_, i) =>
    shares[i] === largest || random() < shares[i]! / largest
  );
}

function startOf(state: UpstreamState | undefined, nowMs: number): number {
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
  const [ofA, ofB] = [observations.get(a.id), observations.get(b.id)];
  const latencyA = currentLatencyMs(ofA, nowMs);
  const latencyB = currentLatencyMs(ofB, nowMs);
  // An upstream without a current average is taken to be as fast as the other.
  const scoreA = score(ofA, { latencyMs: latencyA ?? latencyB ?? 1, nowMs });
  const scoreB = score(ofB, { latencyMs: latencyB ?? latencyA ?? 1, nowMs });
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
