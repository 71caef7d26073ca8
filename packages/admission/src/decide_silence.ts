/**
 * What the upstream's health endpoint says while requests are unanswered.
 *
 * - `answered`: the newest probe of this time was answered.
 * - `unanswered`: it was not, although probes were answered when requests were.
 * - `none`: no probe of this time has ended, or probes fail even while requests are answered.
 */
export type ProbeEvidence = "answered" | "unanswered" | "none";

/** What a daemon concludes about its upstream. */
export type Silence = "answering" | "suspected" | "silent";

/** Options of `decideSilence`. */
export interface DecideSilenceOptions {
  /** Time during which requests were on the upstream since its last sign of life. */
  readonly awaitedMs: number;
  /** Requests sent to the upstream since its last sign of life. */
  readonly unansweredCount: number;
  readonly slots: number;
  /** Slowest of the recent answers; undefined before the first. */
  readonly slowestAnswerMs: number | undefined;
  readonly probe: ProbeEvidence;
}

/** One or two requests may be slow for reasons of their own. */
export const MIN_UNANSWERED = 3;

/** Answers vary; several times the slowest recent one is no longer variation. */
export const SLOWEST_FACTOR = 4;

/** Least time without an answer when the health endpoint is silent as well; collections of garbage stay below it. */
export const SILENT_FLOOR_MS = 500;

/** The same before the first answer, whose usual time is not known; callers must be served again within 3 s. */
export const SILENT_FLOOR_UNMEASURED_MS = 1_500;

/** Least time without an answer otherwise: requests may have become slower all at once, up to some seconds. */
export const SILENT_FLOOR_WITHOUT_PROBE_MS = 5_000;

/**
 * Decides whether an upstream is silent. The verdict rests on requests; a
 * health endpoint that is silent too only shortens the time, because it can lag
 * or answer for a process that serves nothing.
 */
export function decideSilence(options: DecideSilenceOptions): Silence {
  const { awaitedMs, unansweredCount, slots } = options;
  if (unansweredCount < Math.min(slots, MIN_UNANSWERED)) return "answering";
  if (awaitedMs >= silentAfterMs(options)) return "silent";
  const soonestMs = silentAfterMs({ ...options, probe: "unanswered" });
  return awaitedMs >= soonestMs / 2 ? "suspected" : "answering";
}

function silentAfterMs(
  { slowestAnswerMs, probe }: DecideSilenceOptions,
): number {
  if (slowestAnswerMs === undefined) {
    // Without a measured answer the upstream may need any time, as long as it lives.
    return probe === "unanswered" ? SILENT_FLOOR_UNMEASURED_MS : Infinity;
  }
  const floorMs = probe === "unanswered"
    ? SILENT_FLOOR_MS
    : SILENT_FLOOR_WITHOUT_PROBE_MS;
  return Math.max(floorMs, SLOWEST_FACTOR * slowestAnswerMs);
}

/** Options of `decideTrial`. */
export interface DecideTrialOptions {
  readonly idempotent: boolean;
  /** Time since the last trial began, or since the upstream was found silent. */
  readonly sinceTrialMs: number;
  /** Whether a probe was answered in that time. */
  readonly probeAnswered: boolean;
}

/** Trials of an upstream that answers probes but no requests cost one request each. */
export const TRIAL_INTERVAL_MS = 1_000;

/** Longer, so that an idempotent request, which can be sent again, comes first. */
export const NON_IDEMPOTENT_TRIAL_INTERVAL_MS = 2_000;

/** Without an answered probe a trial is likely lost, but the health endpoint may be missing. */
export const TRIAL_WITHOUT_PROBE_INTERVAL_MS = 10_000;

/** Decides whether a silent upstream gets one request, to find out whether it answers again. */
export function decideTrial(
  { idempotent, sinceTrialMs, probeAnswered }: DecideTrialOptions,
): "try" | "refuse" {
  const withProbeMs = idempotent
    ? TRIAL_INTERVAL_MS
    : NON_IDEMPOTENT_TRIAL_INTERVAL_MS;
  const intervalMs = probeAnswered
    ? withProbeMs
    : TRIAL_WITHOUT_PROBE_INTERVAL_MS;
  return sinceTrialMs >= intervalMs ? "try" : "refuse";
}
