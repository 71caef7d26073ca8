import type { Vm } from "@tanagercove/types";
import type {
  UpstreamObservations,
  UpstreamState,
} from "./upstream_observations.ts";

/** Consecutive failures after which an upstream is ejected. One or two also happen to healthy upstreams. */
export const EJECTION_FAILURES = 5;

/** Length of the first ejection. */
export const EJECTION_MS = 5_000;

/** Maximum length of an ejection, so that a recovered upstream is tried again within a minute. */
export const EJECTION_MAX_MS = 60_000;

/**
 * Length of an ejection after a refused connection, or after the owner daemon
 * has refused a request because the upstream is silent. Trying the upstream again
 * costs only one refusal and one retry, so the ejection can be short enough that
 * an upstream gets work within 3 s after it answers again.
 */
export const BRIEF_EJECTION_MS = 2_000;

/** Options of `decideEjection`. */
export interface DecideEjectionOptions {
  readonly consecutiveFailures: number;
  /**
   * Number of ejections in the last series. An ejection continues the series if it starts at most `EJECTION_MAX_MS`
   * after the end of the previous one.
   */
  readonly ejections: number;
  readonly ejectedUntilMs: number;
  readonly nowMs: number;
}

/** End of an ejection, and the number of ejections in its series, including this one. */
export interface Ejection {
  readonly ejections: number;
  readonly ejectedUntilMs: number;
}

/**
 * Decides after a failure whether to eject an upstream, and for how long.
 * An answer resets the failure count, and so does the owner daemon's refusal
 * because the upstream is silent. An ejection does not, so a single failure after
 * it causes the next one. Within a series, each ejection is twice as long as the
 * previous one, up to the maximum.
 */
export function decideEjection(
  options: DecideEjectionOptions,
): Ejection | undefined {
  const { consecutiveFailures, nowMs } = options;
  if (consecutiveFailures < EJECTION_FAILURES) return undefined;
  const isFirstInSeries = nowMs - options.ejectedUntilMs > EJECTION_MAX_MS;
  const ejections = isFirstInSeries ? 1 : options.ejections + 1;
  const lengthMs = Math.min(
    EJECTION_MAX_MS,
    EJECTION_MS * 2 ** (ejections - 1),
  );
  return { ejections, ejectedUntilMs: nowMs + lengthMs };
}

/** Returns the end of the last ejection of an upstream, past or future; -Infinity if there was none. */
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
 * Returns the ids of the upstreams whose ejection applies now: at most half of
 * the candidates, those whose ejection ends last. If more than half fail, the
 * cause is more likely this daemon's network than the upstreams.
 */
export function ejectedUpstreams(
  { candidates, observations, nowMs }: EjectedUpstreamsOptions,
): ReadonlySet<string> {
  const endMs = (vm: Vm) => ejectionEndMs(observations.get(vm.id));
  const ejected = candidates
    .filter((vm) => endMs(vm) > nowMs)
    .sort((a, b) => endMs(b) - endMs(a))
    .slice(0, Math.floor(candidates.length / 2));
  return new Set(ejected.map((vm) => vm.id));
}
