import { build, type Histogram } from "hdr-histogram-js";
import type { Outcome, Reason } from "@tanagercove/types";
import type { Verdict } from "./classify_exchange.ts";

/** Longest time that the histogram records, in microseconds; longer ones count as this one. */
const MAX_TRACKED_US = 60_000_000;

/** Counts of requests by outcome and reason, as plain JSON. */
export interface RequestCounts {
  readonly outcomes: Readonly<Record<Outcome, number>>;
  readonly reasons: Readonly<Partial<Record<Reason, number>>>;
  /** Requests whose sender disconnected, by whether they had been sent on. */
  readonly cancelled: { readonly unsent: number; readonly sent: number };
  /** Long responses that broke off after part of them had been passed on. */
  readonly brokenOff: number;
  readonly retries: number;
}

/** Mean and percentiles of a duration, in microseconds. */
export interface Percentiles {
  readonly count: number;
  readonly meanUs: number;
  readonly p50Us: number;
  readonly p90Us: number;
  readonly p99Us: number;
  readonly p999Us: number;
  readonly maxUs: number;
}

/** Counts requests and records the time that the daemons add to them. */
export class RequestCounters {
  readonly #outcomes: Record<Outcome, number> = {
    answered: 0,
    not_run: 0,
    unknown: 0,
  };
  readonly #reasons: Partial<Record<Reason, number>> = {};
  readonly #cancelled = { unsent: 0, sent: 0 };
  readonly #addedTime: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_TRACKED_US,
    numberOfSignificantValueDigits: 3,
  });
  brokenOff = 0;
  retries = 0;

  record(verdict: Verdict): void {
    this.#outcomes[verdict.outcome] += 1;
    if (verdict.outcome === "answered") return;
    this.#reasons[verdict.reason] = (this.#reasons[verdict.reason] ?? 0) + 1;
  }

  recordCancelled(sent: boolean): void {
    this.#cancelled[sent ? "sent" : "unsent"] += 1;
  }

  recordAddedTime(addedMs: number): void {
    const us = Math.round(addedMs * 1_000);
    this.#addedTime.recordValue(Math.min(MAX_TRACKED_US, Math.max(0, us)));
  }

  counts(): RequestCounts {
    return {
      outcomes: { ...this.#outcomes },
      reasons: { ...this.#reasons },
      cancelled: { ...this.#cancelled },
      brokenOff: this.brokenOff,
      retries: this.retries,
    };
  }

  addedTime(): Percentiles {
    const at = (percentile: number) =>
      this.#addedTime.getValueAtPercentile(percentile);
    return {
      count: this.#addedTime.totalCount,
      // The mean of an empty histogram is NaN, which JSON and metrics cannot show.
      meanUs: this.#addedTime.totalCount === 0 ? 0 : this.#addedTime.mean,
      p50Us: at(50),
      p90Us: at(90),
      p99Us: at(99),
      p999Us: at(99.9),
      maxUs: this.#addedTime.maxValue,
    };
  }
}
