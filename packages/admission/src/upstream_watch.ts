import { type Clock, systemClock, type Timer } from "./clock.ts";
import {
  decideSilence,
  decideTrial,
  type ProbeEvidence,
  SLOWEST_ANSWER_FACTOR,
} from "./decide_silence.ts";

/** A transition of the upstream between answering and silent. */
export type SilenceChange =
  | {
    readonly state: "silent";
    /** Time with requests in flight since a request was last answered or failed. */
    readonly awaitedMs: number;
    readonly unansweredCount: number;
    readonly probe: ProbeEvidence;
  }
  | { readonly state: "answering"; readonly silentMs: number };

/** Options of `UpstreamWatch`. */
export interface UpstreamWatchOptions {
  readonly slots: number;
  readonly clock?: Clock;
  readonly onChange?: (change: SilenceChange) => void;
}

/**
 * How a request to the upstream ended.
 *
 * - `answered`: the upstream sent an answer.
 * - `failed`: the connection broke or could not be opened, or the upstream refused to start the request. After
 *   such a failure, as after an answer, the upstream does not count as silent.
 * - `abandoned`: the request timed out or was cancelled before its answer was complete.
 */
export type UpstreamRequestEnd = "answered" | "failed" | "abandoned";

/** State of the watch for the command `dump` and the metrics. */
export interface UpstreamWatchState {
  readonly silent: boolean;
  /** Time since the upstream became silent; 0 while it answers. */
  readonly silentMs: number;
  /** How often the upstream has become silent since the start of this process. */
  readonly silences: number;
  readonly trials: number;
  readonly unansweredCount: number;
  readonly awaitedMs: number;
  readonly slowestAnswerMs: number | undefined;
}

interface SilentState {
  readonly sinceMs: number;
  trialAtMs: number;
}

interface Probe {
  readonly startedAtMs: number;
  /** Undefined while the probe is in flight. */
  answered: boolean | undefined;
}

const CHECK_INTERVAL_MS = 50;

/**
 * Maximum time that is added to `#awaitedMs` at once. After a pause of this process, answers that arrived meanwhile
 * are not read yet, so the time of the pause must not count.
 */
const MAX_COUNTED_INTERVAL_MS = 2 * CHECK_INTERVAL_MS;

/**
 * Minimum time after which a probe in flight counts as unanswered, even before the probe times out. Probes take
 * about 6 ms.
 */
const PROBE_OVERDUE_MIN_MS = 250;

/**
 * Decay per answered probe of the slowest probe time, which thus covers about the last ten of them. Health endpoints
 * can respond slowly.
 */
const SLOWEST_PROBE_DECAY = 0.9;

/** Minimum time after the start of a probe before another one is requested to confirm a suspected silence. */
const PROBE_INTERVAL_MIN_MS = 250;

/**
 * Number of consecutive unanswered probes, each while requests were answered, after which probe failures are
 * ignored. A short stall of the host makes one or two probes fail.
 */
const FALSE_PROBE_FAILURE_LIMIT = 3;

/** Decay per answer of the slowest answer time, which thus is about the 99th percentile of the last hundred answers. */
const SLOWEST_ANSWER_DECAY = 0.99;

/** Detects when the upstream of this VM stops answering requests, and when it answers again. */
export class UpstreamWatch {
  readonly #options: UpstreamWatchOptions;
  readonly #clock: Clock;
  #onProbeRequested: () => void = () => {};
  #inFlightCount = 0;
  #awaitedMs = 0;
  #unansweredCount = 0;
  #firstUnansweredAtMs = 0;
  #countedUntilMs = 0;
  #slowestAnswerMs: number | undefined;
  #probe: Probe | undefined;
  #endedProbe: Probe | undefined;
  /** Whether probes succeed while requests are answered; otherwise probe failures are ignored. */
  #probesAreReliable = false;
  /** Consecutive unanswered probes that ended while requests were answered. */
  #falseProbeFailures = 0;
  #evaluatedProbe: Probe | undefined;
  #probeAnsweredAtMs = -Infinity;
  #slowestProbeMs = 0;
  #silent: SilentState | undefined;
  #silences = 0;
  #trials = 0;
  #timer: Timer | undefined;

  constructor(options: UpstreamWatchOptions) {
    this.#options = options;
    this.#clock = options.clock ?? systemClock;
  }

  get isSilent(): boolean {
    return this.#silent !== undefined;
  }

  /** Sets the callback that requests an immediate probe of the health endpoint. */
  onProbeRequested(requestProbe: () => void): void {
    this.#onProbeRequested = requestProbe;
  }

  /**
   * Whether a request may be sent to the upstream. A silent upstream gets single trial requests only, and the
   * result true is recorded as the start of such a trial.
   */
  admits({ idempotent }: { readonly idempotent: boolean }): boolean {
    const silent = this.#silent;
    if (silent === undefined) return true;
    const nowMs = this.#clock.nowMs();
    const verdict = decideTrial({
      idempotent,
      sinceTrialMs: nowMs - silent.trialAtMs,
      probeAnswered: this.#probeAnsweredAtMs > silent.trialAtMs,
    });
    if (verdict === "refuse") return false;
    silent.trialAtMs = nowMs;
    this.#trials += 1;
    return true;
  }

  /** Records the start of a request to the upstream. */
  begin(): void {
    const nowMs = this.#clock.nowMs();
    if (this.#unansweredCount === 0) this.#firstUnansweredAtMs = nowMs;
    if (this.#inFlightCount === 0) {
      this.#countedUntilMs = nowMs;
      this.#scheduleCheck();
    }
    this.#inFlightCount += 1;
    this.#unansweredCount += 1;
  }

  /** Records the end of a request that was recorded with `begin`. */
  end(result: UpstreamRequestEnd, durationMs: number): void {
    this.#countAwaitedTime();
    this.#inFlightCount -= 1;
    if (result !== "abandoned") this.#recordResponse();
    if (result === "answered") {
      const slowestMs = (this.#slowestAnswerMs ?? 0) * SLOWEST_ANSWER_DECAY;
      this.#slowestAnswerMs = Math.max(slowestMs, durationMs);
    }
    if (this.#inFlightCount === 0) this.#timer?.cancel();
  }

  /** Records the start of a probe of the health endpoint. */
  probeStarted(): void {
    this.#probe = { startedAtMs: this.#clock.nowMs(), answered: undefined };
  }

  /** Records the end of a probe, and whether the health endpoint answered with any status. */
  probeEnded(answered: boolean): void {
    if (this.#probe === undefined) return;
    this.#probe.answered = answered;
    this.#endedProbe = this.#probe;
    if (!answered) return;
    this.#probeAnsweredAtMs = this.#clock.nowMs();
    this.#slowestProbeMs = Math.max(
      this.#slowestProbeMs * SLOWEST_PROBE_DECAY,
      this.#probeAnsweredAtMs - this.#probe.startedAtMs,
    );
    if (this.#unansweredCount === 0) this.#probesAreReliable = true;
  }

  state(): UpstreamWatchState {
    const silentSinceMs = this.#silent?.sinceMs;
    const nowMs = this.#clock.nowMs();
    return {
      silent: this.isSilent,
      silentMs: silentSinceMs === undefined ? 0 : nowMs - silentSinceMs,
      silences: this.#silences,
      trials: this.#trials,
      unansweredCount: this.#unansweredCount,
      awaitedMs: this.#awaitedMs,
      slowestAnswerMs: this.#slowestAnswerMs,
    };
  }

  close(): void {
    this.#timer?.cancel();
  }

  #scheduleCheck(): void {
    this.#timer?.cancel();
    this.#timer = this.#clock.setTimer(() => {
      this.#countAwaitedTime();
      this.#checkSilence();
      if (this.#inFlightCount > 0) this.#scheduleCheck();
    }, CHECK_INTERVAL_MS);
  }

  #countAwaitedTime(): void {
    const nowMs = this.#clock.nowMs();
    this.#awaitedMs += Math.min(
      MAX_COUNTED_INTERVAL_MS,
      nowMs - this.#countedUntilMs,
    );
    this.#countedUntilMs = nowMs;
  }

  #checkSilence(): void {
    if (this.#silent !== undefined) return;
    const probe = this.#probeEvidence();
    const awaitedMs = this.#awaitedMs;
    const unansweredCount = this.#unansweredCount;
    const verdict = decideSilence({
      awaitedMs,
      unansweredCount,
      slots: this.#options.slots,
      slowestAnswerMs: this.#slowestAnswerMs,
      probe,
    });
    if (verdict === "suspected") this.#requestProbe();
    if (verdict !== "silent") return;
    const nowMs = this.#clock.nowMs();
    this.#silent = { sinceMs: nowMs, trialAtMs: nowMs };
    this.#silences += 1;
    this.#options.onChange?.({
      state: "silent",
      awaitedMs,
      unansweredCount,
      probe,
    });
  }

  #requestProbe(): void {
    const startedAtMs = this.#probe?.startedAtMs ?? -Infinity;
    if (this.#clock.nowMs() - startedAtMs < PROBE_INTERVAL_MIN_MS) return;
    this.#onProbeRequested();
  }

  #probeEvidence(): ProbeEvidence {
    if (!this.#probesAreReliable) {
      return this.#wasAnswered(this.#endedProbe) ? "answered" : "none";
    }
    const probe = this.#probe;
    const overdueAfterMs = Math.max(
      PROBE_OVERDUE_MIN_MS,
      SLOWEST_ANSWER_FACTOR * this.#slowestProbeMs,
    );
    const isOverdue = probe !== undefined && probe.answered === undefined &&
      this.#clock.nowMs() - probe.startedAtMs >= overdueAfterMs;
    if (isOverdue) return "unanswered";
    const ended = this.#endedProbe;
    if (ended === undefined || ended.startedAtMs < this.#firstUnansweredAtMs) {
      return "none";
    }
    return ended.answered ? "answered" : "unanswered";
  }

  /**
   * Updates `#probesAreReliable` from the last probe that ended. Called when a request was answered or failed. Either
   * counts as a sign that the upstream process responds, so an unanswered probe counts as a false alarm.
   */
  #evaluateLastProbe(): void {
    const probe = this.#endedProbe;
    if (probe === undefined || probe === this.#evaluatedProbe) return;
    this.#evaluatedProbe = probe;
    this.#falseProbeFailures = probe.answered
      ? 0
      : this.#falseProbeFailures + 1;
    if (probe.answered) this.#probesAreReliable = true;
    if (this.#falseProbeFailures >= FALSE_PROBE_FAILURE_LIMIT) {
      this.#probesAreReliable = false;
    }
  }

  #wasAnswered(probe: Probe | undefined): boolean {
    return probe !== undefined && probe.answered === true &&
      probe.startedAtMs >= this.#firstUnansweredAtMs;
  }

  #recordResponse(): void {
    this.#awaitedMs = 0;
    this.#unansweredCount = this.#inFlightCount;
    this.#firstUnansweredAtMs = this.#clock.nowMs();
    this.#evaluateLastProbe();
    const silent = this.#silent;
    if (silent === undefined) return;
    this.#silent = undefined;
    const silentMs = this.#clock.nowMs() - silent.sinceMs;
    this.#options.onChange?.({ state: "answering", silentMs });
  }
}
