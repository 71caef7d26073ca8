import type { UpstreamRun } from "./ports.ts";
import type {
  CallRecord,
  DaemonHalt,
  Interval,
  LeavingInterval,
  LimitInterval,
  Violation,
} from "./promises.ts";

/** Documented bound: time after a daemon has passed on that an upstream leaves, from which it sends it nothing more. */
const LEAVING_NOTICE_BOUND_MS = 2_000;

/** Documented bound for limits that upstreams name: requests allowed within any span, from a time after the first answer. */
const LIMIT_KNOWN_MS = 3_000;
const LIMIT_SPAN_MS = 4_000;
const LIMIT_FACTOR = 1.5;
const LIMIT_EXTRA_REQUESTS = 5;

/** Time after which a daemon that has passed on a limit must apply it. */
const LIMIT_LEAD_MS = 500;

/** What the checks of notices need to know of a run of the soak. */
export interface NoticeContext {
  readonly calls: readonly CallRecord[];
  /** Runs on all upstreams. */
  readonly allRuns: readonly UpstreamRun[];
  /** Periods in which a VM's daemon need not know or apply what it has passed on before. */
  readonly excuses: readonly DaemonHalt[];
}

/**
 * Finds requests that started on an upstream although the daemon that took them had passed on an answer that said that
 * the upstream leaves, `LEAVING_NOTICE_BOUND_MS` or more before they were sent. Faults of the store and cuts extend
 * nothing.
 */
export function findStartsAfterLeavingNotice(
  runs: readonly UpstreamRun[],
  leaving: LeavingInterval,
  context: NoticeContext,
): readonly Violation[] {
  const callById = new Map(context.calls.map((call) => [call.id, call]));
  const noticesMs = timesOfNotices(runs, leaving, context);
  return runs
    .filter(({ startedAtMs }) => isWithin(startedAtMs, leaving))
    .filter(({ requestId }) => {
      const call = callById.get(requestId);
      return call !== undefined && hasNotice({
        vmId: call.vmId,
        atMs: call.sentAtMs,
        leadMs: LEAVING_NOTICE_BOUND_MS,
        noticesMs,
        context,
      });
    })
    .map(({ requestId, startedAtMs }) => ({
      promise: "leaving_notice_is_heeded" as const,
      subject: requestId,
      detail: `started on ${leaving.upstreamId} ${
        Math.round(startedAtMs - leaving.fromMs)
      } ms after its answers said that it leaves`,
    }));
}

/**
 * Finds an upstream that got more requests within some `LIMIT_SPAN_MS` than its limit allows, from daemons that had
 * passed on an answer with the limit before.
 */
export function findRunsAboveLimit(
  runs: readonly UpstreamRun[],
  limit: LimitInterval,
  context: NoticeContext,
): readonly Violation[] {
  const vmIdById = new Map(context.calls.map(({ id, vmId }) => [id, vmId]));
  const noticesMs = timesOfNotices(runs, limit, context);
  const kept = { ...limit, fromMs: limit.fromMs + LIMIT_KNOWN_MS };
  const counted = runs
    .filter(({ requestId, startedAtMs: atMs }) => {
      const vmId = vmIdById.get(requestId);
      return vmId !== undefined && isWithin(atMs, kept) &&
        hasNotice({ vmId, atMs, leadMs: LIMIT_LEAD_MS, noticesMs, context });
    })
    .toSorted((a, b) => a.startedAtMs - b.startedAtMs);
  const allowed = LIMIT_FACTOR * limit.limitPerSecond * LIMIT_SPAN_MS / 1_000 +
    LIMIT_EXTRA_REQUESTS;
  let first = 0;
  for (const [i, { requestId, startedAtMs }] of counted.entries()) {
    while (startedAtMs - counted[first]!.startedAtMs > LIMIT_SPAN_MS) {
      first += 1;
    }
    const count = i - first + 1;
    if (count <= allowed) continue;
    return [{
      promise: "limit_is_kept",
      subject: requestId,
      detail: `${count} requests started on ${limit.upstreamId} within ${
        LIMIT_SPAN_MS / 1_000
      } s, allowed ${allowed}`,
    }];
  }
  return [];
}

/** Returns, by VM, when its daemon passed on answers that an upstream wrote within an interval. */
function timesOfNotices(
  runs: readonly UpstreamRun[],
  interval: Interval,
  { calls, allRuns }: NoticeContext,
): ReadonlyMap<string, readonly number[]> {
  const runCountById = new Map<string, number>();
  for (const { requestId } of allRuns) {
    runCountById.set(requestId, (runCountById.get(requestId) ?? 0) + 1);
  }
  // If a request ran more than once, its answer may be that of another upstream.
  const answeredIds = new Set(
    runs
      .filter(({ startedAtMs, requestId }) =>
        isWithin(startedAtMs, interval) && runCountById.get(requestId) === 1
      )
      .map(({ requestId }) => requestId),
  );
  const timesMs = new Map<string, number[]>();
  for (const { id, vmId, status, endedAtMs } of calls) {
    if (status !== 200 || !answeredIds.has(id)) continue;
    timesMs.set(vmId, [...timesMs.get(vmId) ?? [], endedAtMs]);
  }
  return timesMs;
}

/** Whether a daemon passed on a notice `leadMs` or more before a time, and has no excuse since. */
function hasNotice({ vmId, atMs, leadMs, noticesMs, context }: {
  readonly vmId: string;
  readonly atMs: number;
  readonly leadMs: number;
  readonly noticesMs: ReadonlyMap<string, readonly number[]>;
  readonly context: NoticeContext;
}): boolean {
  const earlier = (noticesMs.get(vmId) ?? [])
    .filter((noticeMs) => noticeMs <= atMs - leadMs);
  if (earlier.length === 0) return false;
  const noticeMs = Math.max(...earlier);
  return !context.excuses.some((excuse) =>
    excuse.vmId === vmId && excuse.fromMs <= atMs && excuse.untilMs >= noticeMs
  );
}

function isWithin(atMs: number, { fromMs, untilMs }: Interval): boolean {
  return atMs >= fromMs && atMs <= untilMs;
}
