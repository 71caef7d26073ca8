import { build, type Histogram } from "hdr-histogram-js";
import type { Outcome, Reason } from "@tanagercove/types";
import type { Execution } from "./execution_log.ts";

/**
 * Outcome reported to a caller; `none` if the connection to the daemon broke, the caller timed out or
 * the answer carried no valid outcome.
 */
export type ReportedOutcome = Outcome | "none";

/** One request of a load run, as its caller saw it. */
export interface CallRecord {
  readonly id: string;
  readonly customer: string;
  readonly service: string;
  readonly idempotent: boolean;
  readonly outcome: ReportedOutcome;
  readonly reason: Reason | undefined;
  readonly status: number | undefined;
  /** When the request was due, relative to the start of the run. */
  readonly dueAfterMs: number;
  /**
   * Time from when the request was due until it was sent. If it is large, the sending process, not the
   * daemons, limits the measurement.
   */
  readonly sentLateMs: number;
  /**
   * Time until the answer was complete or the request failed. It counts from when the request was due or
   * sent, whichever was earlier.
   */
  readonly latencyMs: number;
  /**
   * What was wrong with the body of an `answered` request with status 200, such as that it belongs to
   * another request; undefined if nothing was.
   */
  readonly wrongAnswer?: string;
}

/** Latencies of a class of requests in milliseconds. */
export interface LatencySummary {
  readonly count: number;
  readonly p50Ms: number;
  readonly p90Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
}

/** Differences between the outcomes reported to callers and what upstreams executed. */
export interface ExecutionComparison {
  /** Non-idempotent requests that ran more than once. */
  readonly runTwice: readonly string[];
  /** Requests reported as `answered` that never ran. */
  readonly lost: readonly string[];
  /** Requests reported as `not_run` that ran. */
  readonly notRunThatRan: readonly string[];
  /** Idempotent requests that ran more than once, which is allowed. */
  readonly repeatedIdempotent: number;
  /** Requests with the outcome `unknown` or `none` that ran. */
  readonly unknownThatRan: number;
  readonly unknownThatDidNotRun: number;
  readonly executions: number;
}

/** Result of a load run. */
export interface LoadReport {
  readonly seed: number;
  readonly ratePerSecond: number;
  readonly durationMs: number;
  readonly requests: number;
  /** Due requests that were not sent because too many were in flight. */
  readonly notSent: number;
  readonly byOutcome: Readonly<Record<ReportedOutcome, number>>;
  readonly byReason: Readonly<Record<string, number>>;
  readonly latency: {
    readonly idempotent: LatencySummary;
    readonly nonIdempotent: LatencySummary;
  };
  readonly wrongAnswers: readonly string[];
  /** Undefined if no executions were given. */
  readonly comparison: ExecutionComparison | undefined;
}

const MICROSECONDS_PER_MS = 1_000;
const HIGHEST_LATENCY_US = 120 * 1_000_000;

/** Options of `reportLoad`. */
export interface ReportLoadOptions {
  readonly seed: number;
  readonly ratePerSecond: number;
  readonly durationMs: number;
  readonly calls: readonly CallRecord[];
  readonly notSent: number;
  /** All executions that the upstreams recorded. */
  readonly executions?: readonly Execution[];
}

/** Summarizes the calls of a load run. */
export function reportLoad(options: ReportLoadOptions): LoadReport {
  const { calls, executions, ...settings } = options;
  const byOutcome: Record<ReportedOutcome, number> = {
    answered: 0,
    not_run: 0,
    unknown: 0,
    none: 0,
  };
  const byReason: Record<string, number> = {};
  for (const { outcome, reason } of calls) {
    byOutcome[outcome] += 1;
    if (reason !== undefined) byReason[reason] = (byReason[reason] ?? 0) + 1;
  }
  const answered = calls.filter(({ outcome }) => outcome === "answered");
  return {
    ...settings,
    requests: calls.length,
    byOutcome,
    byReason,
    latency: {
      idempotent: summarize(answered.filter(({ idempotent }) => idempotent)),
      nonIdempotent: summarize(
        answered.filter(({ idempotent }) => !idempotent),
      ),
    },
    wrongAnswers: calls.flatMap(({ id, wrongAnswer }) =>
      wrongAnswer === undefined ? [] : [`${id}: ${wrongAnswer}`]
    ),
    comparison: executions && compareExecutions(calls, executions),
  };
}

/** Compares the outcomes reported to callers with what upstreams executed, by the request's `id`. */
export function compareExecutions(
  calls: readonly CallRecord[],
  executions: readonly Execution[],
): ExecutionComparison {
  const runs = new Map<string, number>();
  for (const { id } of executions) runs.set(id, (runs.get(id) ?? 0) + 1);
  const runsOf = ({ id }: CallRecord) => runs.get(id) ?? 0;
  const ids = (matching: (call: CallRecord) => boolean) =>
    calls.filter(matching).map(({ id }) => id);
  const unknown = calls.filter(({ outcome }) =>
    outcome === "unknown" || outcome === "none"
  );
  return {
    runTwice: ids((call) => !call.idempotent && runsOf(call) > 1),
    lost: ids((call) => call.outcome === "answered" && runsOf(call) === 0),
    notRunThatRan: ids((call) =>
      call.outcome === "not_run" && runsOf(call) > 0
    ),
    repeatedIdempotent:
      calls.filter((call) => call.idempotent && runsOf(call) > 1).length,
    unknownThatRan: unknown.filter((call) => runsOf(call) > 0).length,
    unknownThatDidNotRun: unknown.filter((call) => runsOf(call) === 0).length,
    executions: executions.length,
  };
}

function summarize(calls: readonly CallRecord[]): LatencySummary {
  const histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_LATENCY_US,
    numberOfSignificantValueDigits: 3,
  });
  for (const { latencyMs } of calls) {
    const latencyUs = Math.round(latencyMs * MICROSECONDS_PER_MS);
    histogram.recordValue(Math.min(HIGHEST_LATENCY_US, latencyUs));
  }
  return {
    count: calls.length,
    p50Ms: percentileMs(histogram, 50),
    p90Ms: percentileMs(histogram, 90),
    p99Ms: percentileMs(histogram, 99),
    maxMs: histogram.maxValue / MICROSECONDS_PER_MS,
  };
}

function percentileMs(histogram: Histogram, percentile: number): number {
  return histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
}
