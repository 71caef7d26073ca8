/** Why a limit last changed. */
export type LimitReason =
  | "start"
  /** Work takes longer than usual while the limit is reached; a lower limit is tried. */
  | "slower"
  /** Less at once does at least as much work. */
  | "lower_does_as_much"
  /** The lower limit did not help: all work takes longer, at any number in flight. */
  | "slower_at_any"
  /** A lower limit is tried, since the upstream has long been at this one. */
  | "try_lower"
  /** The lower limit does less work. */
  | "lower_does_less"
  /** A higher limit is tried. */
  | "try_higher"
  | "higher_does_more"
  /** The higher limit does no more work. */
  | "higher_does_no_more"
  /** The limit was not reached for a time, so that what was learnt may be out of date. */
  | "not_reached"
  | "slots_changed";

/** A change of the limit. */
export interface LimitChange {
  readonly reason: LimitReason;
  readonly from: number;
  readonly to: number;
  readonly atMs: number;
}

/** Options of `ConcurrencyLimit`. */
export interface ConcurrencyLimitOptions {
  readonly slots: number;
  /** Monotonic time in milliseconds. */
  readonly nowMs: () => number;
}

/** A run, with how much longer its work took than usual. */
export interface ComparedRun {
  readonly startedAtMs: number;
  /** Requests in flight when it began, this one included. */
  readonly concurrency: number;
  /** Logarithm of its time relative to the usual time of its route, without what the host explains. */
  readonly slowdownLog: number;
  /** The same for the whole time for which it held its slot, in which it may have waited for requests of its own. */
  readonly heldLog: number;
}

/** Weight of the newest run in the slowdown at the limit, which thus covers about the last 10 runs. */
const RECENT_WEIGHT = 0.15;

/** Weight of the newest run in the variance, which thus covers about the last 100 runs. */
const VARIANCE_WEIGHT = 0.01;

/** Variance assumed until runs show it: times that differ by a factor of 1.6 either way. */
const INITIAL_VARIANCE = 0.22;

/** Deviations of the average slowdown that are not chance. */
const SIGNIFICANT_DEVIATIONS = 4;

/** Share of the limit that is left when work has become slower, and when a lower limit is tried in quiet. */
const SLOWER_SHARE = 0.5;
const LOWER_SHARE = 0.75;

/** Share of the limit by which it grows at least by one when a higher one is tried. */
const HIGHER_SHARE = 0.25;

/** Runs that decide a trial at most, and at least. */
const TRIAL_RUNS = 16;
const MIN_TRIAL_RUNS = 4;

/** Runs at the former limit that end during a trial from which their average replaces the one before. */
const MIN_FORMER_RUNS = 3;

/** Deviations by which a trial must differ from the decisive point to end before all of its runs. */
const EARLY_DEVIATIONS = 2;

/** The same for a lower limit that does less work, which costs room as long as it is tried. */
const EARLY_LESS_DEVIATIONS = 1;

/** Longest trial; one that is not decided by then ends at the former limit, as too few requests meet the limit. */
const MAX_TRIAL_MS = 2_000;

/** Time without any run after which what was learnt is out of date. */
const MAX_IDLE_MS = 10_000;

/** Longest slowdown of a run that counts, as a logarithm. */
const MAX_SLOWDOWN_LOG = Math.log(10);

/** Share of the room that more at once should give and that it must give for a higher limit to stay. */
const MIN_GAIN_SHARE = 0.25;

/**
 * Share of its room that an upstream may lose to failed trials of a lower limit, by the reason to try one. A slowdown is
 * rare, and a limit that is too high loses more while it lasts.
 */
const EXPLORED_SHARES = { slower: 0.01, lower: 0.003 };

/** Room, in milliseconds of the whole upstream, that such trials may use at once after a time without any. */
const MAX_EXPLORED_MS = { slower: 400, lower: 200 };

/** Times for which a slowdown is accepted that a lower limit did not help against, doubled by each further one. */
const MIN_ACCEPTED_MS = 1_000;
const MAX_ACCEPTED_MS = 16_000;

/** Runs with little in flight, and with much, whose averages hint that less at once does more. */
const HINT_RUNS = 48;
const MIN_HINT_RUNS = 12;

/** Least slowdown between them that is a hint. */
const MIN_HINT_LOG = Math.log(1.2);

/** Age from which runs with little in flight are no longer compared with. */
const MAX_HINT_AGE_MS = 10_000;

/** Pauses between trials of a higher limit, doubled by each one that fails. */
const MIN_HIGHER_PAUSE_MS = 250;
const MAX_HIGHER_PAUSE_MS = 8_000;

/** Pauses between trials of a lower limit without a hint, doubled by each one that fails. */
const MIN_LOWER_PAUSE_MS = 4_000;
const MAX_LOWER_PAUSE_MS = 64_000;

/** Time without a request that met the limit after which the limit rises by a step. */
const NOT_REACHED_MS = 2_000;

interface RunningAverage {
  log: number;
  runs: number;
  atMs: number;
}

type TrialKind = "slower" | "lower" | "confirm" | "higher";

interface Trial {
  readonly kind: TrialKind;
  readonly from: number;
  readonly startedAtMs: number;
  /** Slowdown of the work that led to the trial. */
  slowdownLog: number;
  /** How much longer requests held their slots at the former limit. */
  formerLog: number;
  /** Variance of that average. */
  formerVariance: number;
  formerSumLog: number;
  formerSlowdownSumLog: number;
  formerRuns: number;
  sumLog: number;
  slowdownSumLog: number;
  runs: number;
}

/**
 * The number of requests that an upstream runs well at once: the smallest at which it does as much work per second as at
 * any other. By Little's law, `n` requests in flight that take `s` times as long as usual do `n / s` times the work.
 *
 * Answers the load of an upstream that slows down from some number in flight on, long before its slots are full. When
 * work takes longer than usual at the limit, the limit is halved at once, and the runs that begin then decide whether it
 * stays: if they take as long as before, the upstream is slow at any number and keeps its concurrency. From time to time
 * a neighbouring limit is tried, while requests wait for it only. All comparisons are between runs at limits that were
 * set, never between times of little and much load, which differ in more than the number in flight.
 */
export class ConcurrencyLimit {
  readonly #nowMs: () => number;
  #slots: number;
  #limit: number;
  #setAtMs: number;
  #ranAtMs: number;
  #lastChange: LimitChange;
  #recentLog = 0;
  #recentRuns = 0;
  #variance = INITIAL_VARIANCE;
  /** Slowdown that no lower limit helps against. */
  #acceptedLog = 0;
  #acceptedMs = MIN_ACCEPTED_MS;
  #acceptedUntilMs = 0;
  /** Average of `heldLog` at the limit. */
  #recentHeldLog = 0;
  readonly #little: RunningAverage = { log: 0, runs: 0, atMs: -Infinity };
  readonly #much: RunningAverage = { log: 0, runs: 0, atMs: -Infinity };
  /** Room that trials of a lower limit may still cost. */
  readonly #exploreMs = { slower: MAX_EXPLORED_MS.slower, lower: 0 };
  #exploreAtMs: number;
  #trial: Trial | undefined;
  #reachedAtMs: number;
  #higherPauseMs = MIN_HIGHER_PAUSE_MS;
  #nextHigherAtMs = 0;
  #lowerPauseMs = MIN_LOWER_PAUSE_MS;
  #nextLowerAtMs: number;

  constructor({ slots, nowMs }: ConcurrencyLimitOptions) {
    this.#nowMs = nowMs;
    this.#slots = Math.max(1, slots);
    this.#limit = this.#slots;
    const atMs = nowMs();
    this.#setAtMs = atMs;
    this.#ranAtMs = atMs;
    this.#reachedAtMs = atMs;
    this.#exploreAtMs = atMs;
    this.#nextLowerAtMs = atMs + MIN_LOWER_PAUSE_MS;
    this.#lastChange = {
      reason: "start",
      from: this.#limit,
      to: this.#limit,
      atMs,
    };
  }

  /** From 1 to the slots. */
  get limit(): number {
    this.#forgetIfIdle(this.#nowMs());
    return this.#limit;
  }

  get lastChange(): LimitChange {
    return this.#lastChange;
  }

  /** Starts anew from the slots if their number has changed. */
  setSlots(slots: number): void {
    if (slots === this.#slots || !(slots >= 1)) return;
    this.#slots = slots;
    this.#trial = undefined;
    this.#set(slots, "slots_changed");
  }

  record(run: ComparedRun): void {
    const nowMs = this.#nowMs();
    this.#forgetIfIdle(nowMs);
    this.#ranAtMs = nowMs;
    const side = run.concurrency <= LOWER_SHARE * this.#limit
      ? this.#little
      : this.#much;
    addToAverage(side, clampLog(run.slowdownLog), nowMs);
    if (run.startedAtMs < this.#setAtMs) return this.#recordFormer(run);
    if (run.concurrency < this.#limit) return this.#considerUnreached(nowMs);
    this.#reachedAtMs = nowMs;
    if (this.#trial !== undefined) return this.#continueTrial(run, nowMs);
    this.#recordRecent(run);
    this.#considerTrial(nowMs);
  }

  /**
   * Records a run that began before the limit was set. When work has turned slower, such runs show how the upstream was
   * at the former limit: the average that led to the trial lags behind, or was high by chance.
   */
  #recordFormer({ concurrency, heldLog, slowdownLog }: ComparedRun): void {
    const trial = this.#trial;
    if (trial?.kind !== "slower" || concurrency < trial.from) return;
    trial.formerSumLog += clampLog(heldLog);
    trial.formerSlowdownSumLog += clampLog(slowdownLog);
    trial.formerRuns += 1;
    if (trial.formerRuns < MIN_FORMER_RUNS) return;
    trial.formerLog = trial.formerSumLog / trial.formerRuns;
    trial.slowdownLog = trial.formerSlowdownSumLog / trial.formerRuns;
    trial.formerVariance = this.#variance / trial.formerRuns;
  }

  #recordRecent({ slowdownLog, heldLog }: ComparedRun): void {
    const difference = clampLog(slowdownLog) - this.#recentLog;
    this.#variance += VARIANCE_WEIGHT * (difference ** 2 - this.#variance);
    this.#recentRuns += 1;
    const weight = Math.max(RECENT_WEIGHT, 1 / this.#recentRuns);
    this.#recentLog += weight * difference;
    this.#recentHeldLog += weight * (clampLog(heldLog) - this.#recentHeldLog);
    // A slowdown that has passed is no longer accepted when it comes back.
    if (this.#recentLog >= this.#acceptedLog / 2) return;
    this.#acceptedLog = 0;
    this.#acceptedMs = MIN_ACCEPTED_MS;
  }

  /** Deviation of an average of the last runs by chance. */
  #chance(): number {
    const share = Math.max(
      RECENT_WEIGHT / (2 - RECENT_WEIGHT),
      1 / Math.max(1, this.#recentRuns),
    );
    return Math.sqrt(this.#variance * share);
  }

  #considerTrial(nowMs: number): void {
    const acceptedLog = nowMs < this.#acceptedUntilMs ? this.#acceptedLog : 0;
    const slowdownLog = this.#recentLog - acceptedLog;
    // With a smaller slowdown, fewer at once do less work.
    const lower = TRIALS.slower.to(this.#limit, this.#slots);
    const isSlower = slowdownLog >= Math.max(
      Math.log(this.#limit / lower),
      SIGNIFICANT_DEVIATIONS * this.#chance(),
    );
    if (isSlower && this.#mayExplore("slower", nowMs)) {
      return this.#try("slower", nowMs);
    }
    if (this.#recentRuns < TRIAL_RUNS) return;
    if (this.#limit < this.#slots && nowMs >= this.#nextHigherAtMs) {
      return this.#try("higher", nowMs);
    }
    if (nowMs < this.#nextLowerAtMs || !this.#mayExplore("lower", nowMs)) {
      return;
    }
    if (this.#isLessBetter(nowMs) ?? true) this.#try("lower", nowMs);
  }

  /** Whether runs with little in flight hint that less at once does as much; undefined without such runs. */
  #isLessBetter(nowMs: number): boolean | undefined {
    const { runs, atMs, log } = this.#little;
    if (runs < MIN_HINT_RUNS || nowMs - atMs > MAX_HINT_AGE_MS) {
      return undefined;
    }
    const deviation = Math.sqrt(
      this.#variance * (1 / runs + 1 / this.#much.runs),
    );
    const differenceLog = this.#much.log - log;
    return differenceLog > Math.max(
      MIN_HINT_LOG,
      EARLY_DEVIATIONS * deviation,
    );
  }

  /** Whether the room that failed trials may cost is not used up. */
  #mayExplore(kind: "slower" | "lower", nowMs: number): boolean {
    const passedMs = nowMs - this.#exploreAtMs;
    this.#exploreAtMs = nowMs;
    for (const reason of ["slower", "lower"] as const) {
      const earnedMs = EXPLORED_SHARES[reason] * passedMs;
      this.#exploreMs[reason] = Math.min(
        MAX_EXPLORED_MS[reason],
        this.#exploreMs[reason] + earnedMs,
      );
    }
    return this.#limit > 1 && this.#exploreMs[kind] > 0;
  }

  #try(kind: TrialKind, nowMs: number, target?: number): void {
    this.#trial = {
      kind,
      from: this.#limit,
      startedAtMs: nowMs,
      formerLog: this.#recentHeldLog,
      slowdownLog: this.#recentLog,
      formerVariance: this.#chance() ** 2,
      formerSumLog: 0,
      formerSlowdownSumLog: 0,
      formerRuns: 0,
      sumLog: 0,
      slowdownSumLog: 0,
      runs: 0,
    };
    const { to, reason } = TRIALS[kind];
    this.#set(target ?? to(this.#limit, this.#slots), reason);
  }

  #continueTrial({ slowdownLog, heldLog }: ComparedRun, nowMs: number): void {
    const trial = this.#trial!;
    trial.sumLog += clampLog(heldLog);
    trial.slowdownSumLog += clampLog(slowdownLog);
    trial.runs += 1;
    if (trial.runs < MIN_TRIAL_RUNS) return;
    const ratioLog = Math.log(this.#limit / trial.from);
    // Work done per second at this limit relative to the former one, as a logarithm.
    const workLog = ratioLog - (trial.sumLog / trial.runs - trial.formerLog);
    // A lower limit stays only if it does no less work: several small losses in turn would add up.
    const decisiveLog = Math.max(0, MIN_GAIN_SHARE * ratioLog);
    const excessLog = workLog - decisiveLog;
    const deviation = Math.sqrt(
      this.#variance / trial.runs + trial.formerVariance,
    );
    const isDecided = trial.runs >= TRIAL_RUNS ||
      excessLog > EARLY_DEVIATIONS * deviation ||
      -excessLog > deviation *
          (ratioLog < 0 ? EARLY_LESS_DEVIATIONS : EARLY_DEVIATIONS);
    const isLate = nowMs - trial.startedAtMs > MAX_TRIAL_MS;
    if (!isDecided && !isLate) return;
    this.#trial = undefined;
    if (isDecided && excessLog >= 0) this.#accept(trial, nowMs);
    else this.#reject(trial, nowMs);
  }

  /** Stays at the limit that was tried; a lower one after it has been compared with the former one once more. */
  #accept(trial: Trial, nowMs: number): void {
    const { kind, from, sumLog, slowdownSumLog, runs } = trial;
    this.#recentLog = slowdownSumLog / runs;
    this.#recentHeldLog = sumLog / runs;
    this.#recentRuns = runs;
    if (kind === "slower" || kind === "lower") {
      // The times that led to the trial were among the longest, so that any others look short beside them.
      return this.#try("confirm", nowMs, from);
    }
    this.#higherPauseMs = MIN_HIGHER_PAUSE_MS;
    this.#nextHigherAtMs = nowMs + this.#higherPauseMs;
    this.#nextLowerAtMs = nowMs + this.#lowerPauseMs;
    this.#settle(TRIALS[kind].accepted, from, nowMs);
  }

  /** Returns to the former limit. */
  #reject(trial: Trial, nowMs: number): void {
    const { kind, from, formerLog, slowdownLog } = trial;
    this.#recentLog = slowdownLog;
    this.#recentHeldLog = formerLog;
    if (kind === "slower" || kind === "lower") {
      const lostShare = 1 - this.#limit / from;
      this.#exploreMs[kind] -= lostShare * (nowMs - trial.startedAtMs);
      if (kind === "slower") {
        this.#acceptedLog = slowdownLog;
        this.#acceptedUntilMs = nowMs + this.#acceptedMs;
        this.#acceptedMs = Math.min(MAX_ACCEPTED_MS, 2 * this.#acceptedMs);
      }
      this.#lowerPauseMs = Math.min(MAX_LOWER_PAUSE_MS, 2 * this.#lowerPauseMs);
      this.#nextLowerAtMs = nowMs + this.#lowerPauseMs;
    } else {
      this.#higherPauseMs = kind === "confirm"
        ? MIN_HIGHER_PAUSE_MS
        : Math.min(MAX_HIGHER_PAUSE_MS, 2 * this.#higherPauseMs);
      this.#nextHigherAtMs = nowMs + this.#higherPauseMs;
      if (kind === "confirm") {
        // The limit may be lower still.
        this.#lowerPauseMs = MIN_LOWER_PAUSE_MS;
        this.#nextLowerAtMs = nowMs + MIN_HIGHER_PAUSE_MS;
      }
    }
    this.#set(from, TRIALS[kind].rejected);
  }

  /** Returns to the slots after a time without any run. */
  #forgetIfIdle(nowMs: number): void {
    const idleMs = nowMs - this.#ranAtMs;
    if (idleMs < MAX_IDLE_MS) return;
    this.#trial = undefined;
    this.#forgetSlowdown();
    if (this.#limit !== this.#slots) this.#set(this.#slots, "not_reached");
    this.#ranAtMs = nowMs;
  }

  #forgetSlowdown(): void {
    this.#acceptedLog = 0;
    this.#acceptedMs = MIN_ACCEPTED_MS;
    this.#recentLog = 0;
    this.#recentHeldLog = 0;
    this.#recentRuns = 0;
  }

  /** Raises a limit that no request has met for a time; a trial of it ends, as nothing decides it. */
  #considerUnreached(nowMs: number): void {
    const startedAtMs = this.#trial?.startedAtMs ?? nowMs;
    if (nowMs - startedAtMs > MAX_TRIAL_MS) {
      const trial = this.#trial!;
      this.#trial = undefined;
      return this.#reject(trial, nowMs);
    }
    if (nowMs - this.#reachedAtMs < NOT_REACHED_MS) return;
    this.#reachedAtMs = nowMs;
    const trial = this.#trial;
    this.#trial = undefined;
    this.#forgetSlowdown();
    const raised = trial?.kind === "slower" || trial?.kind === "lower"
      ? trial.from
      : higherLimit(this.#limit, this.#slots);
    if (raised !== this.#limit) this.#set(raised, "not_reached");
  }

  #settle(reason: LimitReason, from: number, atMs: number): void {
    this.#lastChange = { reason, from, to: this.#limit, atMs };
  }

  #set(to: number, reason: LimitReason): void {
    const atMs = this.#nowMs();
    this.#lastChange = { reason, from: this.#limit, to, atMs };
    this.#limit = to;
    this.#setAtMs = atMs;
  }
}

function clampLog(log: number): number {
  return Math.min(MAX_SLOWDOWN_LOG, Math.max(-MAX_SLOWDOWN_LOG, log));
}

function addToAverage(
  average: RunningAverage,
  log: number,
  nowMs: number,
): void {
  average.runs = Math.min(HINT_RUNS, average.runs + 1);
  average.log += (log - average.log) / average.runs;
  average.atMs = nowMs;
}

function higherLimit(limit: number, slots: number): number {
  const step = Math.max(1, Math.floor(HIGHER_SHARE * limit));
  return Math.min(slots, limit + step);
}

interface TrialDefinition {
  readonly to: (limit: number, slots: number) => number;
  readonly reason: LimitReason;
  readonly accepted: LimitReason;
  readonly rejected: LimitReason;
}

const TRIALS: Readonly<Record<TrialKind, TrialDefinition>> = {
  slower: {
    to: (limit) => Math.max(1, Math.ceil(SLOWER_SHARE * limit)),
    reason: "slower",
    accepted: "lower_does_as_much",
    rejected: "slower_at_any",
  },
  lower: {
    to: (limit) =>
      Math.max(1, Math.min(limit - 1, Math.round(LOWER_SHARE * limit))),
    reason: "try_lower",
    accepted: "lower_does_as_much",
    rejected: "lower_does_less",
  },
  confirm: {
    to: (_limit, slots) => slots,
    reason: "try_higher",
    accepted: "lower_does_less",
    rejected: "lower_does_as_much",
  },
  higher: {
    to: higherLimit,
    reason: "try_higher",
    accepted: "higher_does_more",
    rejected: "higher_does_no_more",
  },
};
