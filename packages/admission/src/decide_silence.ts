/**
 * What health probes show while requests to the upstream are unanswered.
 *
 * - `answered`: the newest probe since the first unanswered request was answered.
 * - `unanswered`: that probe was not answered, although probes succeed while requests are answered.
 * - `none`: no such probe has ended yet, or probes fail even while requests are answered.
 */
export type ProbeEvidence = "answered" | "unanswered" | "none";

/** A daemon's verdict on its upstream. */
export type SilenceVerdict = "answering" | "suspected" | "silent";

/** Options of `decideSilence`. */
export interface DecideSilenceOptions {
  /** Time with requests in flight since a request was last answered or failed. */
  readonly awaitedMs: number;
  /** Requests in flight, and requests that timed out or were cancelled since one was last answered or failed. */
  readonly unansweredCount: number;
  readonly slots: number;
  /** Slowest of the recent answers; undefined before the first. */
  readonly slowestAnswerMs: number | undefined;
  readonly probe: ProbeEvidence;
}

/** Minimum number of unanswered requests; one or two may be slow for reasons of their own. */
export const MIN_UNANSWERED = 3;

/** Multiple of the slowest recent answer time that exceeds the usual variation of answer times. */
export const SLOWEST_ANSWER_FACTOR = 4;

/**
 * Minimum time without an answer when probes are unanswered as well. Garbage collection pauses of an upstream are
 * shorter.
 */
export const SILENT_FLOOR_MS = 500;

/**
 * Minimum time without an answer when probes are unanswered and no answer has been measured yet. Callers must be
 * served again within 3 s.
 */
export const SILENT_FLOOR_UNMEASURED_MS = 1_500;

/**
 * Minimum time without an answer when answers have been measured and the probe evidence is `answered` or `none`.
 * Requests may suddenly take up to some seconds.
 */
export const SILENT_FLOOR_WITHOUT_PROBE_MS = 5_000;

/**
 * Decides whether an upstream is silent. The verdict is based on requests;
 * unanswered probes only shorten the time, because a health endpoint can be slow
 * or can answer although the process serves no requests.
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
    // The usual answer time is not known yet, so an upstream that answers probes may take any time.
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
  /** Whether a probe was answered during that time. */
  readonly probeAnswered: boolean;
}

/** Interval between trials while probes are answered. Each trial of an upstream that is still silent costs a request. */
export const TRIAL_INTERVAL_MS = 1_000;

/** Longer than `TRIAL_INTERVAL_MS`, so that an idempotent request, which can be retried, is tried first. */
export const NON_IDEMPOTENT_TRIAL_INTERVAL_MS = 2_000;

/**
 * Interval between trials without an answered probe. Such a trial will probably fail, but the upstream may have no
 * health endpoint.
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
