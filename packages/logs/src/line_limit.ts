/** Options of `LineLimit`. */
export interface LineLimitOptions {
  /** Lines in each interval. */
  readonly lines?: number;
  readonly intervalMs?: number;
  /** Monotonic time in milliseconds. */
  readonly nowMs?: () => number;
}

const DEFAULT_LINES = 20;
const DEFAULT_INTERVAL_MS = 10_000;

/** Bounds the lines of events that many VMs can cause at once. */
export class LineLimit {
  readonly #lines: number;
  readonly #intervalMs: number;
  readonly #nowMs: () => number;
  #intervalStartMs = -Infinity;
  #written = 0;
  #leftOut = 0;

  constructor(options: LineLimitOptions = {}) {
    this.#lines = options.lines ?? DEFAULT_LINES;
    this.#intervalMs = options.intervalMs ?? DEFAULT_INTERVAL_MS;
    this.#nowMs = options.nowMs ?? (() => performance.now());
  }

  /** Takes one line; returns how many were left out since the last one, or undefined if this one is. */
  take(): number | undefined {
    const nowMs = this.#nowMs();
    if (nowMs - this.#intervalStartMs >= this.#intervalMs) {
      this.#intervalStartMs = nowMs;
      this.#written = 0;
    }
    if (this.#written >= this.#lines) {
      this.#leftOut += 1;
      return undefined;
    }
    this.#written += 1;
    const leftOut = this.#leftOut;
    this.#leftOut = 0;
    return leftOut;
  }
}
