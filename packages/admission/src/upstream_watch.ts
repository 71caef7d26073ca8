import { type Clock, systemClock, type Timer } from "./clock.ts";
import {
  decideSilence,
  decideTrial,
  type ProbeEvidence,
  SLOWEST_FACTOR,
} from "./decide_silence.ts";

/** A change of an upstream between answering and silent. */
export type SilenceChange =
  | {
    readonly state: "silent";
    /** Time during which requests were on the upstream and none was answered. */
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
 * - `answered`: with the upstream's answer.
 * - `failed`: the connection broke or could not be opened; the upstream is not silent.
 * - `abandoned`: it was given up without a sign of the upstream.
 */
export type WatchedEnd = "answered" | "failed" | "abandoned";

/** What a watch shows in `dump`. */
export interface UpstreamWatchState {
  readonly silent: boolean;
  /** Time since the upstream was found silent; 0 while it answers. */
  readonly silentMs: number;
  /** Times that the upstream was found silent since the start. */
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
  readonly askedAtMs: number;
  /** Undefined while the answer is awaited. */
  answered: boolean | undefined;
}

const CHECK_INTERVAL_MS = 50;

/** After a pause of this process, answers that have arrived already are not read yet, so its time does not count. */
const MAX_COUNTED_INTERVAL_MS = 2 * CHECK_INTERVAL_MS;

/** Least time after which a probe counts as unanswered before its poll gives up; probes take about 6 ms. */
const PROBE_PATIENCE_MS = 250;

/** Health endpoints can lag; the slowest recent probe is forgotten over about ten probes. */
const SLOWEST_PROBE_DECAY = 0.9;

/** Least time between probes that a suspicion asks for. */
const PROBE_AGAIN_MS = 250;

/**
 * Unanswered probes in a row, each while requests were answered, after which probes say nothing. A short
 * stall of the host makes one or two fail.
 */
const MISLEADING_PROBES = 3;

/** The slowest answer is forgotten over about a hundred answers, so it is about their 99th percentile. */
const SLOWEST_DECAY = 0.99;

/** Observes whether the upstream of this VM answers the requests that it gets. */
export class UpstreamWatch {
  readonly #options: UpstreamWatchOptions;
  readonly #clock: Clock;
  #onProbeWanted: () => void = () => {};
  #awaiting = 0;
  #awaitedMs = 0;
  #unansweredCount = 0;
  #firstUnansweredAtMs = 0;
  #countedUntilMs = 0;
  #slowestAnswerMs: number | undefined;
  #probe: Probe | undefined;
  #endedProbe: Probe | undefined;
  /** Whether probes are answered while requests are; otherwise their failures say nothing. */
  #probesTellLife = false;
  /** Unanswered probes in a row that ended while requests were answered. */
  #misleadingProbes = 0;
  #judgedProbe: Probe | undefined;
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

  /** Sets what asks the health endpoint out of turn. */
  onProbeRequested(ask: () => void): void {
    this.#onProbeWanted = ask;
  }

  /** Whether a request may go to the upstream. A silent one gets single trials. */
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

  /** Records that a request is sent to the upstream. */
  begin(): void {
    const nowMs = this.#clock.nowMs();
    if (this.#unansweredCount === 0) this.#firstUnansweredAtMs = nowMs;
    if (this.#awaiting === 0) {
      this.#countedUntilMs = nowMs;
      this.#scheduleCheck();
    }
    this.#awaiting += 1;
    this.#unansweredCount += 1;
  }

  /** Records the end of a request that `begin` announced. */
  end(result: WatchedEnd, durationMs: number): void {
    this.#count();
    this.#awaiting -= 1;
    if (result !== "abandoned") this.#recordLife();
    if (result === "answered") {
      const slowestMs = (this.#slowestAnswerMs ?? 0) * SLOWEST_DECAY;
      this.#slowestAnswerMs = Math.max(slowestMs, durationMs);
    }
    if (this.#awaiting === 0) this.#timer?.cancel();
  }

  /** Records that the health endpoint is asked. */
  probeStarted(): void {
    this.#probe = { askedAtMs: this.#clock.nowMs(), answered: undefined };
  }

  /** Records whether the health endpoint answered, whatever it said. */
  probeEnded(answered: boolean): void {
    if (this.#probe === undefined) return;
    this.#probe.answered = answered;
    this.#endedProbe = this.#probe;
    if (!answered) return;
    this.#probeAnsweredAtMs = this.#clock.nowMs();
    this.#slowestProbeMs = Math.max(
      this.#slowestProbeMs * SLOWEST_PROBE_DECAY,
      this.#probeAnsweredAtMs - this.#probe.askedAtMs,
    );
    if (this.#unansweredCount === 0) this.#probesTellLife = true;
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
      this.#count();
      this.#check();
      if (this.#awaiting > 0) this.#scheduleCheck();
    }, CHECK_INTERVAL_MS);
  }

  #count(): void {
    const nowMs = this.#clock.nowMs();
    this.#awaitedMs += Math.min(
      MAX_COUNTED_INTERVAL_MS,
      nowMs - this.#countedUntilMs,
    );
    this.#countedUntilMs = nowMs;
  }

  #check(): void {
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
    if (verdict === "suspected") this.#wantProbe();
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

  #wantProbe(): void {
    const askedAtMs = this.#probe?.askedAtMs ?? -Infinity;
    if (this.#clock.nowMs() - askedAtMs < PROBE_AGAIN_MS) return;
    this.#onProbeWanted();
  }

  #probeEvidence(): ProbeEvidence {
    if (!this.#probesTellLife) {
      return this.#wasAnswered(this.#endedProbe) ? "answered" : "none";
    }
    const probe = this.#probe;
    const patienceMs = Math.max(
      PROBE_PATIENCE_MS,
      SLOWEST_FACTOR * this.#slowestProbeMs,
    );
    const isOverdue = probe !== undefined && probe.answered === undefined &&
      this.#clock.nowMs() - probe.askedAtMs >= patienceMs;
    if (isOverdue) return "unanswered";
    const ended = this.#endedProbe;
    if (ended === undefined || ended.askedAtMs < this.#firstUnansweredAtMs) {
      return "none";
    }
    return ended.answered ? "answered" : "unanswered";
  }

  /** Compares the last probe with a request that was answered or failed, which shows that the upstream lives. */
  #judgeProbe(): void {
    const probe = this.#endedProbe;
    if (probe === undefined || probe === this.#judgedProbe) return;
    this.#judgedProbe = probe;
    this.#misleadingProbes = probe.answered ? 0 : this.#misleadingProbes + 1;
    if (probe.answered) this.#probesTellLife = true;
    if (this.#misleadingProbes >= MISLEADING_PROBES) {
      this.#probesTellLife = false;
    }
  }

  #wasAnswered(probe: Probe | undefined): boolean {
    return probe !== undefined && probe.answered === true &&
      probe.askedAtMs >= this.#firstUnansweredAtMs;
  }

  #recordLife(): void {
    this.#awaitedMs = 0;
    this.#unansweredCount = this.#awaiting;
    this.#firstUnansweredAtMs = this.#clock.nowMs();
    this.#judgeProbe();
    const silent = this.#silent;
    if (silent === undefined) return;
    this.#silent = undefined;
    const silentMs = this.#clock.nowMs() - silent.sinceMs;
    this.#options.onChange?.({ state: "answering", silentMs });
  }
}
