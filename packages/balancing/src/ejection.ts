import type { Vm } from "@tanagercove/types";
import type {
  UpstreamObservations,
  UpstreamState,
} from "./upstream_observations.ts";

/** Failures in a row that eject an upstream. One or two also happen to healthy upstreams. */
export const EJECTION_FAILURES = 5;

/** Length of the first ejection. */
export const EJECTION_MS = 5_000;

/** Longest ejection; an upstream that is back is then tried again within a minute. */
export const EJECTION_MAX_MS = 60_000;

/**
 * Length of an ejection after a refused connection or the owner daemon's verdict.
 * Trying again costs one refusal and one retry, so it can be short enough for
 * an upstream to get work within 3 s after it answers again.
 */
export const BRIEF_EJECTION_MS = 2_000;

/** Options of `decideEjection`. */
export interface DecideEjectionOptions {
  readonly consecutiveFailures: number;
  /** Ejections so far, each shortly after the one before. */
  readonly ejections: number;
  readonly ejectedUntilMs: number;
  readonly nowMs: number;
}

/** An ejection and how many there have been. */
export interface Ejection {
  readonly ejections: number;
  readonly ejectedUntilMs: number;
}

/**
 * Decides after a failure whether to eject an upstream, and for how long.
 * The count of failures lasts until an answer, so one failure after an ejection
 * leads to the next one, twice as long.
 */
export function decideEjection(
  options: DecideEjectionOptions,
): Ejection | undefined {
  const { consecutiveFailures, nowMs } = options;
  if (consecutiveFailures < EJECTION_FAILURES) return undefined;
  const wasLongAgo = nowMs - options.ejectedUntilMs > EJECTION_MAX_MS;
  const ejections = wasLongAgo ? 1 : options.ejections + 1;
  const lengthMs = Math.min(
    EJECTION_MAX_MS,
    EJECTION_MS * 2 ** (ejections - 1),
  );
  return { ejections, ejectedUntilMs: nowMs + lengthMs };
}

/** Returns when the last ejection of an upstream ends or ended; -Infinity if there was none. */
export function ejectionEndMs(
  state:
    | Pick<UpstreamState, "ejectedUntilMs" | "brieflyEjectedUntilMs">
    | undefined,
): number {
  if (state === undefined) return -Infinity;
  return Math.max(state.ejectedUntilMs, state.brieflyEjectedUntilMs);
}

/** Options of `ejectedUpstreams`. */
export interface EjectedUpstreamsOptions {
  /** All live VMs of one service, in all zones. */
  readonly candidates: readonly Vm[];
  readonly observations: UpstreamObservations;
  readonly nowMs: number;
}

/**
 * Returns the ids of the upstreams whose ejection counts now: at most half of
 * the candidates, those ejected for longest. Beyond half, failures more likely
 * come from this daemon's own network than from the upstreams.
 */
export function ejectedUpstreams(
  { candidates, observations, nowMs }: EjectedUpstreamsOptions,
): ReadonlySet<string> {
  const untilMs = (vm: Vm) => ejectionEndMs(observations.get(vm.id));
  const ejected = candidates
    .filter((vm) => untilMs(vm) > nowMs)
    .sort((a, b) => untilMs(b) - untilMs(a))
    .slice(0, Math.floor(candidates.length / 2));
  return new Set(ejected.map((vm) => vm.id));
}
