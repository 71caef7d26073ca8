import { setTimeout as sleep } from "node:timers/promises";

/** Minimum duration of a drain, so that clients see the failing readiness check; a shorter drain timeout ends it earlier. */
const STOP_MIN_MS = 2_300;

/** Time without requests in flight after which a drain ends, though not before `STOP_MIN_MS`. */
const STOP_IDLE_MS = 300;

/** The drain ends at the latest this long before the process is killed, even with requests in flight. */
const STOP_MARGIN_MS = 400;

/**
 * The wait for the last answers ends this long before the process is killed, so that all is closed when `runSidecar`
 * stops waiting for it.
 */
const SEND_MARGIN_MS = 200;

/** How often the wait for the last answers checks whether they have been sent. */
const SEND_CHECK_MS = 10;

/**
 * Share of the drain timeout in which a stopping daemon still accepts forwarded
 * requests. Its upstream keeps running; in a rolling restart of all daemons, the
 * upstream would otherwise be unavailable for the whole of each stop. With a drain
 * timeout of 6 s, this time ends after 1.7 s: well before the drain can end
 * (`STOP_MIN_MS`), so that other daemons have closed their connections by then.
 * With a timeout above 8.2 s, it ends after `STOP_MIN_MS`.
 */
const ACCEPT_FORWARDED_SHARE = 0.28;

/** Share of the drain timeout after which callers' new requests are refused. */
const REFUSE_NEW_SHARE = 0.45;

/**
 * Time from the stop signal in which callers' requests are accepted that may still be running when the drain ends. By
 * then clients have seen two failed readiness checks. The platform counts requests that are cut at the end of the drain
 * as lost if they were sent more than 3 s after the signal; the rest of that is for a signal that is handled late.
 */
const ACCEPT_ANY_MS = 2_700;

/** Time before the end of the drain by which a request that is accepted later must have reached its deadline. */
const DEADLINE_MARGIN_MS = 100;

/** How often a stopping daemon checks for requests in flight. */
const STOP_CHECK_MS = 50;

/** Options of `whenDrained`. */
export interface WhenDrainedOptions {
  /** Time from the stop signal until the process is killed. */
  readonly drainTimeoutMs: number;
  /** Whether requests are in flight. */
  readonly isBusy: () => boolean;
}

/**
 * Resolves once `STOP_MIN_MS` have passed and no request has been in flight for `STOP_IDLE_MS`, at the latest
 * `STOP_MARGIN_MS` before the process is killed.
 */
export async function whenDrained(
  { drainTimeoutMs, isBusy }: WhenDrainedOptions,
): Promise<void> {
  const startMs = performance.now();
  const deadlineAtMs = startMs + drainTimeoutMs - STOP_MARGIN_MS;
  let idleSinceMs = startMs;
  while (performance.now() < deadlineAtMs) {
    const nowMs = performance.now();
    if (isBusy()) idleSinceMs = nowMs;
    const isIdle = nowMs - idleSinceMs >= STOP_IDLE_MS;
    if (isIdle && nowMs - startMs >= STOP_MIN_MS) return;
    await sleep(STOP_CHECK_MS);
  }
}

/** Options of `whenSent`. */
export interface WhenSentOptions {
  /** Time until the process is killed. */
  readonly timeLeftMs: number;
  /** Whether a caller may not have received its answer. */
  readonly isSending: () => boolean;
}

/** Resolves once all answers have been sent, at the latest `SEND_MARGIN_MS` before the process is killed. */
export async function whenSent(
  { timeLeftMs, isSending }: WhenSentOptions,
): Promise<void> {
  const endAtMs = performance.now() + timeLeftMs - SEND_MARGIN_MS;
  while (isSending() && performance.now() < endAtMs) {
    await sleep(SEND_CHECK_MS);
  }
}

/** Which requests a stopping daemon still accepts. */
export interface StopPhase {
  /** Whether it accepts requests that other daemons forward to its upstream. */
  readonly acceptsForwarded: boolean;
  /** Whether it accepts new requests of its own callers, if they end in time (`mayTakeWhileStopping`). */
  readonly acceptsNew: boolean;
}

/** Time from the stop signal until forwarded requests are refused. */
export function refuseForwardedAfterMs(drainTimeoutMs: number): number {
  return Math.floor(ACCEPT_FORWARDED_SHARE * drainTimeoutMs);
}

/** Time from the stop signal until callers' new requests are refused. */
export function refuseNewAfterMs(drainTimeoutMs: number): number {
  return Math.floor(REFUSE_NEW_SHARE * drainTimeoutMs);
}

/** Options of `decideStopPhase`. */
export interface DecideStopPhaseOptions {
  readonly stoppingForMs: number;
  readonly drainTimeoutMs: number;
  /** Whether the drain has ended; a request that starts after it would be cut when the connections are closed. */
  readonly isDrained: boolean;
}

/** Decides which requests a daemon still accepts some time after its stop signal. */
export function decideStopPhase(
  { stoppingForMs, drainTimeoutMs, isDrained }: DecideStopPhaseOptions,
): StopPhase {
  const isBefore = (endMs: number) => !isDrained && stoppingForMs < endMs;
  return {
    acceptsForwarded: isBefore(refuseForwardedAfterMs(drainTimeoutMs)),
    acceptsNew: isBefore(refuseNewAfterMs(drainTimeoutMs)),
  };
}

/** Options of `mayTakeWhileStopping`. */
export interface MayTakeWhileStoppingOptions extends DecideStopPhaseOptions {
  /** Time until the caller's deadline or the timeout of the route, whichever is first. */
  readonly timeLeftMs: number;
  /** Whether an upstream sends the request as part of handling another one, which fails without it. */
  readonly isNested: boolean;
}

/**
 * Decides whether a stopping daemon takes a request of its own callers. From `ACCEPT_ANY_MS` on it takes only those that
 * end before the drain does, with an answer or at their deadline: any other one might be cut while its upstream is at
 * work. Nested requests that do are taken until the end, since their parents are still running.
 */
export function mayTakeWhileStopping(
  options: MayTakeWhileStoppingOptions,
): boolean {
  const { stoppingForMs, drainTimeoutMs, isDrained, timeLeftMs } = options;
  if (isDrained) return false;
  const { acceptsNew } = decideStopPhase(options);
  if (acceptsNew && stoppingForMs < ACCEPT_ANY_MS) return true;
  const drainEndMs = drainTimeoutMs - STOP_MARGIN_MS;
  const endsInTime =
    stoppingForMs + timeLeftMs <= drainEndMs - DEADLINE_MARGIN_MS;
  return endsInTime && (acceptsNew || options.isNested);
}
