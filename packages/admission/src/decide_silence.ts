/**
 * What health probes show while an upstream answers no requests. This period starts when a request was last answered or
 * failed; if no other was in flight then, it starts with the next request.
 *
 * - `answered`: the last probe that started and ended in this period was answered, and `unanswered` does not apply.
 * - `unanswered`: the last probe that started and ended in this period failed, or a probe in flight is overdue. Both
 *   count only if probes are known to succeed while requests are answered.
 * - `none`: neither of these.
 */
export type ProbeEvidence = "answered" | "unanswered" | "none";

/**
 * A daemon's conclusion about its upstream. `suspected` has no effect on requests; it causes an additional probe of
 * the health endpoint.
 */
export type SilenceVerdict = "answering" | "suspected" | "silent";

/** Options of `decideSilence`. */
export interface DecideSilenceOptions {
  /** Time with requests in flight since a request was last answered or failed. */
  readonly awaitedMs: number;
  /** Requests in flight, plus those that timed out or were cancelled since a request was last answered or failed. */
  readonly unansweredCount: number;
  readonly slots: number;
  /** Slowest of the recent answers; undefined before the first. */
  readonly slowestAnswerMs: number | undefined;
  readonly probe: ProbeEvidence;
}

/**
 * Minimum number of unanswered requests at which an upstream may count as suspected or silent; `slots` if that is less.
 * One or two requests may be slow for reasons of their own.
 */
export const MIN_UNANSWERED = 3;

/**
 * An upstream counts as silent only after a time without an answer of at least this multiple of the slowest recent
 * answer time, since answer times vary. A probe of the health endpoint is overdue after this multiple of the slowest
 * recent probe time, but not before `PROBE_OVERDUE_MIN_MS`.
 */
export const SLOWEST_ANSWER_FACTOR = 4;

/**
 * Minimum time without an answer before an upstream counts as silent, when answers have been measured and probes are
 * unanswered as well. Garbage collection pauses of an upstream are shorter.
 */
export const SILENT_FLOOR_MS = 500;

/**
 * Minimum time without an answer before an upstream counts as silent, when probes are unanswered and no answer has been
 * measured yet. Callers must be served again within 3 s.
 */
export const SILENT_FLOOR_UNMEASURED_MS = 1_500;

/**
 * Minimum time without an answer before an upstream counts as silent, when answers have been measured and the probe
 * evidence is `answered` or `none`. Requests may suddenly take up to some seconds.
 */
export const SILENT_FLOOR_WITHOUT_PROBE_MS = 5_000;

/**
 * Decides whether an upstream is silent. This depends on its requests; unanswered
 * probes only shorten the time after which it counts as silent, because a health
 * endpoint can be slow or can answer although the process serves no requests.
 * Before the first answer, an upstream is silent only if probes are unanswered too.
 */
export function decideSilence(options: DecideSilenceOptions): SilenceVerdict {
  const { awaitedMs, unansweredCount, slots } = options;
  if (unansweredCount < Math.min(slots, MIN_UNANSWERED)) return "answering";
  if (awaitedMs >= silentAfterMs(options)) return "silent";
  const earliestSilentMs = silentAfterMs({ ...options, probe: "unanswered" });
  return awaitedMs >= earliestSilentMs / 2 ? "suspected" : "answering";
}

function silentAfterMs(
  { slowestAnswerMs, probe }: DecideSilenceOptions,
): number {
  if (slowestAnswerMs === undefined) {
    // The usual answer time is not known yet, so an upstream may take any time unless probes are unanswered.
    return probe === "unanswered" ? SILENT_FLOOR_UNMEASURED_MS : Infinity;
  }
  const floorMs = probe === "unanswered"
    ? SILENT_FLOOR_MS
    : SILENT_FLOOR_WITHOUT_PROBE_MS;
  return Math.max(floorMs, SLOWEST_ANSWER_FACTOR * slowestAnswerMs);
}

/** Options of `decideTrial`. */
export interface DecideTrialOptions {
  readonly idempotent: boolean;
  /** Time since the start of the last trial, or since the upstream became silent. */
  readonly sinceTrialMs: number;
  /** Whether a probe was answered since the start of the last trial, or since the upstream became silent. */
  readonly probeAnswered: boolean;
}

/**
 * Minimum `sinceTrialMs` at which an idempotent request is sent as a trial, if `probeAnswered` is true. Each trial of
 * an upstream that is still silent costs a request.
 */
export const TRIAL_INTERVAL_MS = 1_000;

/**
 * Minimum `sinceTrialMs` at which a non-idempotent request is sent as a trial, if `probeAnswered` is true. Longer than
 * `TRIAL_INTERVAL_MS`, so that an idempotent request, which can be retried, is tried first.
 */
export const NON_IDEMPOTENT_TRIAL_INTERVAL_MS = 2_000;

/**
 * Minimum `sinceTrialMs` at which any request is sent as a trial, if `probeAnswered` is false. Such a trial will
 * probably fail, but the upstream may have no health endpoint.
 */
export const TRIAL_WITHOUT_PROBE_INTERVAL_MS = 10_000;

/** Decides whether a request is sent to a silent upstream as a trial of whether it answers again. */
export function decideTrial(
  { idempotent, sinceTrialMs, probeAnswered }: DecideTrialOptions,
): "try" | "refuse" {
  const probedIntervalMs = idempotent
    ? TRIAL_INTERVAL_MS
    : NON_IDEMPOTENT_TRIAL_INTERVAL_MS;
  const intervalMs = probeAnswered
    ? probedIntervalMs
    : TRIAL_WITHOUT_PROBE_INTERVAL_MS;
  return sinceTrialMs >= intervalMs ? "try" : "refuse";
}
