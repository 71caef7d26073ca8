/** Weight of the newest figure in the usual figure, which thus covers about the last 2,000 answers. */
const TOLD_WEIGHT = 0.0005;

/** Answers that the meaning of the figure, 1 as usual, counts as in the usual figure. */
const PRIOR_ANSWERS = 100;

/** Smallest difference to the usual figure that shows whether times follow it. */
const MIN_TOLD_LOG = 0.1;

/** Time after which half of what was measured no longer holds without further runs. */
const MEASURED_HALF_LIFE_MS = 1_000;

/** Weight of the newest run in the regression of measured on told work times, which thus covers about 100 runs. */
const TRUST_WEIGHT = 0.01;

/** Variance of the told logarithms that counts in favour of the figure until runs show how far it holds. */
const PRIOR_VARIANCE = 0.01;

/** Weight of the newest run in the measured speed, which thus covers about the last 8 runs. */
const MEASURED_WEIGHT = 0.12;

/** Difference of the told logarithms from which the host counts as changed. */
const CHANGE_LOG = 0.2;

/** Time between changes assumed until some were seen; the figure is said to change many times a second. */
const INITIAL_CHANGE_MS = 200;
const MAX_CHANGE_MS = 10_000;
const CHANGE_WEIGHT = 0.1;

/** Number of last figures that are kept to tell what was told while a run lasted. */
const KEPT_FIGURES = 128;

/** Figures that come closer together tell little that is new. */
const MIN_FIGURE_INTERVAL_MS = 2;

/** Range of the work rate; what lies outside it is a fault rather than a speed. */
const MAX_LOG_FACTOR = Math.log(10);

interface ToldFigure {
  readonly atMs: number;
  readonly log: number;
  /** Integral of the logarithms over the time up to this figure. */
  readonly integral: number;
}

/**
 * Speed at which an upstream works now, relative to its usual speed.
 *
 * Answers the load of an upstream that shares its host: for some hundred milliseconds at a time all its work takes
 * longer, at any number of requests in flight. The host's own figure is taken as far as the measured times follow it
 * (the slope of a regression, 0 to 1), relative to its own average, so that a constant or an unrelated figure has no
 * effect, and it ages with the time between its changes. What it does not explain is measured.
 */
export class WorkRate {
  readonly #nowMs: () => number;
  #toldLog = 0;
  #toldAtMs = -Infinity;
  #changedAtMs = -Infinity;
  #changeMs = INITIAL_CHANGE_MS;
  #toldMeanLog = 0;
  #toldCount = 0;
  readonly #figures: ToldFigure[] = [];
  #covariance = PRIOR_VARIANCE;
  #variance = PRIOR_VARIANCE;
  #measuredLog = 0;
  #measuredAtMs = -Infinity;

  constructor(options: { readonly nowMs: () => number }) {
    this.#nowMs = options.nowMs;
  }

  /** Whether the upstream tells how long work takes on its host. */
  get isTold(): boolean {
    return this.#toldCount > 0;
  }

  /** How far the told figure is followed, 0 to 1. */
  get trust(): number {
    return Math.min(1, Math.max(0, this.#covariance / this.#variance));
  }

  /** Average time between changes of the told figure. */
  get changeMs(): number {
    return this.#changeMs;
  }

  /** The work rate; 1 is as usual, 0.5 means that work takes twice as long. */
  get rate(): number {
    return Math.exp(-clampLog(this.toldLogFactor() + this.#measuredNow()));
  }

  /** Logarithm of the factor by which work takes longer now, as far as the told figure is followed. */
  toldLogFactor(): number {
    if (this.#toldCount === 0) return 0;
    const ageMs = this.#nowMs() - this.#toldAtMs;
    const freshness = 0.5 ** (ageMs / this.#changeMs);
    return this.trust * freshness * (this.#toldLog - this.#toldMeanLog);
  }

  /** Records the figure of an answer: the time that work takes on the host, relative to the usual time. */
  recordTold(workTimeFactor: number): void {
    const nowMs = this.#nowMs();
    const log = clampLog(Math.log(workTimeFactor));
    if (this.#toldCount === 0) this.#changedAtMs = nowMs;
    else if (Math.abs(log - this.#toldLog) >= CHANGE_LOG) {
      const lastedMs = Math.min(MAX_CHANGE_MS, nowMs - this.#changedAtMs);
      this.#changeMs += CHANGE_WEIGHT * (lastedMs - this.#changeMs);
      this.#changedAtMs = nowMs;
    }
    this.#toldCount += 1;
    const weight = Math.max(
      TOLD_WEIGHT,
      1 / (PRIOR_ANSWERS + this.#toldCount),
    );
    this.#toldMeanLog += weight * (log - this.#toldMeanLog);
    this.#keep(log, nowMs);
    this.#toldLog = log;
    this.#toldAtMs = nowMs;
  }

  /** Average of `toldLogFactor` since a time, without its ageing. */
  toldLogFactorSince(startMs: number): number {
    return this.trust * this.#toldDeviationSince(startMs);
  }

  /** Records a run that ends now, with the logarithm of its time relative to the usual time of its route. */
  recordRun(
    { startedAtMs, deviationLog }: {
      readonly startedAtMs: number;
      readonly deviationLog: number;
    },
  ): void {
    const deviation = clampLog(deviationLog);
    const told = this.#toldDeviationSince(startedAtMs);
    const measuredLog = this.#measuredNow();
    if (Math.abs(told) >= MIN_TOLD_LOG) {
      this.#covariance += TRUST_WEIGHT *
        (told * (deviation - measuredLog) - this.#covariance);
      this.#variance += TRUST_WEIGHT * (told * told - this.#variance);
    }
    const unexplained = deviation - this.trust * told;
    this.#measuredLog = measuredLog +
      MEASURED_WEIGHT * (unexplained - measuredLog);
    this.#measuredAtMs = this.#nowMs();
  }

  /** What was measured, as far as it still holds. */
  #measuredNow(): number {
    const ageMs = this.#nowMs() - this.#measuredAtMs;
    return this.#measuredLog * 0.5 ** (ageMs / MEASURED_HALF_LIFE_MS);
  }

  #keep(log: number, atMs: number): void {
    const last = this.#figures.at(-1);
    const integral = last === undefined
      ? 0
      : last.integral + last.log * (atMs - last.atMs);
    if (last !== undefined && atMs - last.atMs < MIN_FIGURE_INTERVAL_MS) return;
    this.#figures.push({ atMs, log, integral });
    if (this.#figures.length > KEPT_FIGURES) {
      this.#figures.splice(0, KEPT_FIGURES / 2);
    }
  }

  /** Average difference of the told logarithms to their usual value, from a time to now. */
  #toldDeviationSince(startMs: number): number {
    const figures = this.#figures;
    const last = figures.at(-1);
    if (last === undefined) return 0;
    const nowMs = this.#nowMs();
    const spanMs = nowMs - startMs;
    if (spanMs <= 0) return this.#toldLog - this.#toldMeanLog;
    let index = figures.length - 1;
    while (index > 0 && figures[index]!.atMs > startMs) index -= 1;
    const first = figures[index]!;
    const untilNow = last.integral + last.log * (nowMs - last.atMs);
    const untilStart = first.integral + first.log * (startMs - first.atMs);
    return (untilNow - untilStart) / spanMs - this.#toldMeanLog;
  }
}

function clampLog(log: number): number {
  return Math.min(MAX_LOG_FACTOR, Math.max(-MAX_LOG_FACTOR, log));
}
