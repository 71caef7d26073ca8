/** Options of `LineLimit`. */
export interface LineLimitOptions {
  /** Limit on the lines written in each interval. */
  readonly lines?: number;
  readonly intervalMs?: number;
  /** Monotonic time in milliseconds. */
  readonly nowMs?: () => number;
}

const DEFAULT_LINES = 20;
const DEFAULT_INTERVAL_MS = 10_000;

/** Limits the log lines of events that can occur in large numbers, such as ejections when many VMs fail. */
export class LineLimit {
  readonly #lines: number;
  readonly #intervalMs: number;
  readonly #nowMs: () => number;
  #intervalStartMs = -Infinity;
  #written = 0;
  #suppressed = 0;

  constructor(options: LineLimitOptions = {}) {
    this.#lines = options.lines ?? DEFAULT_LINES;
    this.#intervalMs = options.intervalMs ?? DEFAULT_INTERVAL_MS;
    this.#nowMs = options.nowMs ?? (() => performance.now());
  }

  /**
   * Counts one line against the limit. Returns how many were suppressed since the last line written, or
   * undefined if this one must be suppressed too.
   */
  take(): number | undefined {
    const nowMs = this.#nowMs();
    if (nowMs - this.#intervalStartMs >= this.#intervalMs) {
      this.#intervalStartMs = nowMs;
      this.#written = 0;
    }
    if (this.#written >= this.#lines) {
      this.#suppressed += 1;
      return undefined;
    }
    this.#written += 1;
    const suppressed = this.#suppressed;
    this.#suppressed = 0;
    return suppressed;
  }
}
