import type { Logger } from "pino";
import { logEvent } from "./logger.ts";

/** Options of `RefusalSummary`. */
export interface RefusalSummaryOptions {
  /** Time over which refusals are summed up. */
  readonly intervalMs?: number;
}

const DEFAULT_INTERVAL_MS = 10_000;
/** Reasons are a closed set; the bound holds even if a caller passes text from outside. */
const MAX_REASONS = 64;
const OTHER_REASONS = "other";

/**
 * Counts refused requests by reason and logs at most one event in each interval, because one line
 * for each refusal would make an overload worse.
 */
export class RefusalSummary {
  readonly #log: Logger;
  readonly #intervalMs: number;
  #counts = new Map<string, number>();
  #timer: NodeJS.Timeout | undefined;

  constructor(log: Logger, options: RefusalSummaryOptions = {}) {
    this.#log = log;
    this.#intervalMs = options.intervalMs ?? DEFAULT_INTERVAL_MS;
  }

  /** Counts one refused request. */
  add(reason: string): void {
    const known = this.#counts.has(reason) || this.#counts.size < MAX_REASONS;
    const key = known ? reason : OTHER_REASONS;
    this.#counts.set(key, (this.#counts.get(key) ?? 0) + 1);
    this.#timer ??= setTimeout(() => this.#flush(), this.#intervalMs).unref();
  }

  /** Logs what was counted since the last event. */
  close(): void {
    this.#flush();
  }

  #flush(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    if (this.#counts.size === 0) return;
    const counts = this.#counts;
    this.#counts = new Map();
    logEvent(this.#log, {
      event: "requests_refused",
      refused: [...counts.values()].reduce((sum, count) => sum + count, 0),
      by_reason: Object.fromEntries(counts),
      interval_ms: this.#intervalMs,
    });
  }
}
