/** Options of `RetryWhile`. */
export interface RetryWhileOptions {
  /** Whether an attempt is needed. */
  readonly isNeeded: () => boolean;
  readonly attempt: () => void;
  /** Shortest time between two attempts; it doubles with each that did not help. */
  readonly minDelayMs: number;
  readonly maxDelayMs: number;
  /** Monotonic time in milliseconds. */
  readonly nowMs?: () => number;
}

/** Makes attempts with growing delays for as long as they are needed. */
export class RetryWhile {
  readonly #options: RetryWhileOptions;
  readonly #nowMs: () => number;
  #timer: NodeJS.Timeout | undefined;
  #delayMs: number;
  #attemptedAtMs = -Infinity;

  constructor(options: RetryWhileOptions) {
    this.#options = options;
    this.#nowMs = options.nowMs ?? (() => performance.now());
    this.#delayMs = options.minDelayMs;
  }

  /** To be called whenever it may have changed whether an attempt is needed. */
  check(): void {
    const { isNeeded, attempt, minDelayMs, maxDelayMs } = this.#options;
    if (!isNeeded()) {
      this.close();
      this.#delayMs = minDelayMs;
      return;
    }
    if (this.#timer !== undefined) return;
    const nowMs = this.#nowMs();
    const waitMs = this.#attemptedAtMs + this.#delayMs - nowMs;
    if (waitMs > 0) return this.#checkAfter(waitMs);
    this.#attemptedAtMs = nowMs;
    attempt();
    this.#checkAfter(this.#delayMs);
    this.#delayMs = Math.min(maxDelayMs, 2 * this.#delayMs);
  }

  close(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
  }

  #checkAfter(delayMs: number): void {
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      this.check();
    }, delayMs);
  }
}
