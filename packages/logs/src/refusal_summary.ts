import type { Logger } from "pino";
import { logEvent } from "./logger.ts";

/** Requests by the reason why they were not answered, counted since the start. */
export type ReasonCounts = Readonly<Partial<Record<string, number>>>;

/** Options of `RefusalSummary`. */
export interface RefusalSummaryOptions {
  readonly log: Logger;
  /** Reads the counts; called once in each interval and at `close`. */
  readonly counts: () => ReasonCounts;
  /** Time that one event covers; the event at `close` covers less. */
  readonly intervalMs?: number;
}

const DEFAULT_INTERVAL_MS = 10_000;

/**
 * Logs at most one event in each interval for all requests that were not answered, because one line
 * for each would make an overload worse.
 */
export class RefusalSummary {
  readonly #options: RefusalSummaryOptions;
  readonly #intervalMs: number;
  readonly #timer: NodeJS.Timeout;
  #logged: ReasonCounts = {};

  constructor(options: RefusalSummaryOptions) {
    this.#options = options;
    this.#intervalMs = options.intervalMs ?? DEFAULT_INTERVAL_MS;
    this.#timer = setInterval(() => this.#log(), this.#intervalMs).unref();
  }

  /** Logs what was counted since the last event. */
  close(): Promise<void> {
    clearInterval(this.#timer);
    this.#log();
    return Promise.resolve();
  }

  #log(): void {
    const counts = this.#options.counts();
    const added = Object.entries(counts)
      .map(([reason, count = 0]) => ({
        reason,
        count: count - (this.#logged[reason] ?? 0),
      }))
      .filter(({ count }) => count > 0);
    this.#logged = { ...counts };
    if (added.length === 0) return;
    logEvent(this.#options.log, {
      event: "requests_not_answered",
      requests: added.reduce((sum, { count }) => sum + count, 0),
      by_reason: Object.fromEntries(
        added.map(({ reason, count }) => [reason, count]),
      ),
      interval_ms: this.#intervalMs,
    });
  }
}
