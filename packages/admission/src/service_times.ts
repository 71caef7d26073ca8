/** Weight of a new sample in the mean, which thus covers about the last twenty requests. */
const MEAN_SAMPLE_WEIGHT = 0.1;

/** Factor by which the median moves towards each sample; it follows a tenfold change within fifty requests. */
const MEDIAN_STEP = 1.05;

/** Lower limit of a sample. Shorter times are timer noise, and a median of zero could never grow by a factor. */
const MIN_SERVICE_TIME_MS = 0.1;

/** Running estimates of how long requests hold a slot. */
export class ServiceTimes {
  #meanMs = 0;
  #medianMs = 0;

  /** Mean, which determines the rate at which slots become free; 0 before the first sample. */
  get meanMs(): number {
    return this.#meanMs;
  }

  /** Median, which a few long requests hardly change; 0 before the first sample. */
  get medianMs(): number {
    return this.#medianMs;
  }

  record(timeMs: number): void {
    const sampleMs = Math.max(MIN_SERVICE_TIME_MS, timeMs);
    if (this.#meanMs === 0) {
      this.#meanMs = sampleMs;
      this.#medianMs = sampleMs;
      return;
    }
    this.#meanMs += (sampleMs - this.#meanMs) * MEAN_SAMPLE_WEIGHT;
    if (sampleMs > this.#medianMs) this.#medianMs *= MEDIAN_STEP;
    else this.#medianMs /= MEDIAN_STEP;
  }
}
