import type { PlannedFault } from "./plan.ts";
import { ONCE_SUFFIX, type UpstreamRun } from "./ports.ts";

/** Promises that the soak checks. */
export type PromiseName =
  | "runs_at_most_once"
  | "not_run_is_true"
  | "answer_of_own_request"
  | "arrives_whole"
  | "answered_by_deadline"
  | "process_goes_on"
  | "version_never_goes_back"
  | "version_in_force"
  | "leaving_gets_no_work"
  | "leaving_notice_is_heeded"
  | "evacuated_gets_no_work"
  | "limit_is_kept"
  | "cold_bound_is_kept"
  | "planned_stop_cuts_nothing"
  | "served_after_faults";

/** A broken promise, with the request or daemon that shows it. */
export interface Violation {
  readonly promise: PromiseName;
  readonly subject: string;
  readonly detail: string;
}

/** One request as its caller saw it. */
export interface CallRecord {
  readonly id: string;
  readonly vmId: string;
  readonly method: "GET" | "POST";
  readonly sentBody: string;
  /** Names of the fields beside those that each request has, in lower case. */
  readonly sentFields: readonly string[];
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  /** Undefined if the connection ended without a complete answer. */
  readonly status: number | undefined;
  readonly body: string;
  /** Code or message of the error that ended the request; undefined after a complete answer. */
  readonly error: string | undefined;
}

/** A period of time, by `performance.now()`. */
export interface Interval {
  readonly fromMs: number;
  readonly untilMs: number;
}

/** Period in which an upstream was leaving. */
export interface LeavingInterval extends Interval {
  readonly upstreamId: string;
}

/** Period in which a zone was evacuated. */
export interface EvacuationInterval extends Interval {
  readonly zone: string;
}

/** Period in which an upstream named a limit in its answers. */
export interface LimitInterval extends Interval {
  readonly upstreamId: string;
  readonly limitPerSecond: number;
}

/** Period in which an upstream was cold. */
export interface ColdInterval extends Interval {
  readonly upstreamId: string;
}

/** Period of a planned stop of a daemon, from the signal to the end of the process. */
export interface StopInterval extends Interval {
  readonly vmId: string;
}

/** Period in which a daemon was paused or being killed, plus a time to recover. */
export interface DaemonHalt extends Interval {
  readonly vmId: string;
}

/** A fault with the times at which it started and ended. */
export interface AppliedFault extends Interval {
  readonly fault: PlannedFault;
}

/** Statuses that promise that the request has not run. */
export const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([
  408,
  421,
  429,
  503,
]);

/**
 * Bound in the platform's documentation: time after which a leaving upstream gets no new request and a
 * published version is in force.
 */
export const IN_FORCE_BOUND_MS = 3_000;

/** Bound in the platform's terms: time after which no request is handled by an older version. */
export const APPLY_BOUND_MS = 2_000;

/** Bound in the platform's terms: time after which the upstreams of an evacuated zone get no new request. */
export const EVACUATION_BOUND_MS = 5_000;

/**
 * Time that a request may be under way before it starts to run; a start up to this long after the bound is no
 * violation.
 */
const START_TOLERANCE_MS = 250;

/**
 * Time after a request's deadline within which an answer is no violation. A busy host delays answers by up to this
 * much, and the platform's clients wait longer.
 */
const END_TOLERANCE_MS = 1_000;

/** Finds requests that ran more than once although they are not idempotent by the version that must be in force. */
export function findSecondRuns(
  runs: readonly UpstreamRun[],
): readonly Violation[] {
  const countById = new Map<string, number>();
  for (const { requestId, method } of runs) {
    if (method !== "POST" && !requestId.endsWith(ONCE_SUFFIX)) continue;
    countById.set(requestId, (countById.get(requestId) ?? 0) + 1);
  }
  return [...countById].filter(([, count]) => count > 1).map(
    ([subject, count]) => ({
      promise: "runs_at_most_once",
      subject,
      detail: `ran ${count} times`,
    }),
  );
}

/** Finds requests that were refused as not run although they ran. */
export function findFalseRefusals(
  calls: readonly CallRecord[],
  runs: readonly UpstreamRun[],
): readonly Violation[] {
  const ran = new Set(runs.map(({ requestId }) => requestId));
  return calls
    .filter(({ id, status }) =>
      status !== undefined && NOT_RUN_STATUSES.has(status) && ran.has(id)
    )
    .map(({ id, status }) => ({
      promise: "not_run_is_true",
      subject: id,
      detail: `refused with ${status}, but it ran`,
    }));
}

/** Finds answers that belong to another request. */
export function findMismatchedAnswers(
  calls: readonly CallRecord[],
): readonly Violation[] {
  return calls
    .filter(({ id, status, body }) => status === 200 && body !== id)
    .map(({ id, body }) => ({
      promise: "answer_of_own_request",
      subject: id,
      detail: `answered with "${body.slice(0, 80)}"`,
    }));
}

/** Finds requests that were answered with 200 and ran with another body than was sent, or without some of their fields. */
export function findChangedRequests(
  calls: readonly CallRecord[],
  runs: readonly UpstreamRun[],
): readonly Violation[] {
  const runsById = new Map<string, UpstreamRun[]>();
  for (const run of runs) {
    runsById.set(run.requestId, [...runsById.get(run.requestId) ?? [], run]);
  }
  return calls.flatMap(({ id, status, sentBody, sentFields }) => {
    const ofCall = runsById.get(id) ?? [];
    // A run that was cut may have got a part only.
    const isWhole = ofCall.some(({ body, fieldNames }) =>
      body === sentBody && sentFields.every((name) => fieldNames.has(name))
    );
    if (status !== 200 || ofCall.length === 0 || isWhole) return [];
    const [{ body, fieldNames }] = ofCall as [UpstreamRun];
    return [{
      promise: "arrives_whole" as const,
      subject: id,
      detail: `ran with "${body.slice(0, 80)}" and ${fieldNames.size} fields`,
    }];
  });
}

/**
 * Finds requests that ended long after their deadline, or never, although their daemon was neither killed nor
 * paused meanwhile.
 */
export function findLateAnswers(
  calls: readonly CallRecord[],
  { deadlineMs, halts }: {
    readonly deadlineMs: number;
    readonly halts: readonly DaemonHalt[];
  },
): readonly Violation[] {
  return calls
    .filter((call) =>
      call.endedAtMs - call.sentAtMs > deadlineMs + END_TOLERANCE_MS &&
      !overlapsHalt(call, halts)
    )
    .map(({ id, vmId, sentAtMs, endedAtMs }) => ({
      promise: "answered_by_deadline",
      subject: id,
      detail: `ended after ${Math.round(endedAtMs - sentAtMs)} ms on ${vmId}`,
    }));
}

function overlapsHalt(call: CallRecord, halts: readonly DaemonHalt[]): boolean {
  return halts.some(({ vmId, fromMs, untilMs }) =>
    vmId === call.vmId && fromMs <= call.endedAtMs && untilMs >= call.sentAtMs
  );
}

/** Finds requests that started on a leaving upstream after the bound; the given faults extend the bound. */
export function findLateStarts(
  runs: readonly UpstreamRun[],
  upstreamId: string,
  { leaving, faults }: {
    readonly leaving: readonly LeavingInterval[];
    readonly faults: readonly AppliedFault[];
  },
): readonly Violation[] {
  return leaving.filter((interval) => interval.upstreamId === upstreamId)
    .flatMap(({ fromMs, untilMs }) => {
      const boundAtMs = propagationBoundAtMs(fromMs, faults) +
        START_TOLERANCE_MS;
      return runs
        .filter(({ startedAtMs }) =>
          startedAtMs > boundAtMs && startedAtMs < untilMs
        )
        .map(({ requestId, startedAtMs }) => ({
          promise: "leaving_gets_no_work" as const,
          subject: requestId,
          detail: `started on ${upstreamId} ${
            Math.round(startedAtMs - fromMs)
          } ms after it began to leave`,
        }));
    });
}

/** Finds requests that started in an evacuated zone after the bound; the given faults extend the bound. */
export function findStartsInEvacuatedZone(
  runs: readonly UpstreamRun[],
  { zone, fromMs, untilMs }: EvacuationInterval,
  faults: readonly AppliedFault[],
): readonly Violation[] {
  const boundAtMs = START_TOLERANCE_MS +
    propagationBoundAtMs(fromMs, faults, EVACUATION_BOUND_MS);
  return runs
    .filter(({ startedAtMs }) =>
      startedAtMs > boundAtMs && startedAtMs < untilMs
    )
    .map(({ requestId, startedAtMs }) => ({
      promise: "evacuated_gets_no_work",
      subject: requestId,
      detail: `started in ${zone} ${
        Math.round(startedAtMs - fromMs)
      } ms after its evacuation`,
    }));
}

/**
 * Returns the time by which a change at `sinceMs` must have taken effect everywhere: a bound after the change. A fault
 * that overlaps the time from the change to the bound moves it to as long after the fault's end.
 */
export function propagationBoundAtMs(
  sinceMs: number,
  faults: readonly AppliedFault[],
  boundMs = IN_FORCE_BOUND_MS,
): number {
  let boundAtMs = sinceMs + boundMs;
  for (const { fromMs, untilMs } of faults) {
    if (fromMs < boundAtMs && untilMs > sinceMs) {
      boundAtMs = Math.max(boundAtMs, untilMs + boundMs);
    }
  }
  return boundAtMs;
}

/**
 * Finds requests that were cut by a planned stop of their daemon. A refused connection does not count, since
 * nothing was sent on it.
 */
export function findRequestsCutByStops(
  calls: readonly CallRecord[],
  { stops, halts }: {
    readonly stops: readonly StopInterval[];
    readonly halts: readonly DaemonHalt[];
  },
): readonly Violation[] {
  return stops.flatMap(({ vmId, fromMs, untilMs }) =>
    calls
      .filter((call) =>
        call.vmId === vmId && call.status === undefined &&
        call.error !== "ECONNREFUSED" &&
        call.sentAtMs < untilMs && call.endedAtMs >= fromMs &&
        !overlapsHalt(call, halts)
      )
      .map(({ id, error, sentAtMs }) => ({
        promise: "planned_stop_cuts_nothing" as const,
        subject: id,
        detail: `${error} on a connection of ${vmId}, sent ${
          Math.round(sentAtMs - fromMs)
        } ms after its stop began`,
      }))
  );
}
