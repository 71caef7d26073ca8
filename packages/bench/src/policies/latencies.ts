import { build, type Histogram } from "hdr-histogram-js";

/** Percentiles of latencies in milliseconds. */
export interface LatencySummary {
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
}

const MICROSECONDS_PER_MS = 1_000;

/** Collects latencies of a simulation. */
export class Latencies {
  readonly #histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 3_600_000_000,
    numberOfSignificantValueDigits: 3,
  });

  record(latencyMs: number): void {
    this.#histogram.recordValue(Math.round(latencyMs * MICROSECONDS_PER_MS));
  }

  summary(): LatencySummary {
    const percentile = (p: number) =>
      round(this.#histogram.getValueAtPercentile(p) / MICROSECONDS_PER_MS);
    return {
      p50Ms: percentile(50),
      p99Ms: percentile(99),
      maxMs: percentile(100),
    };
  }
}

/** Rounds a figure to four significant digits. */
export function round(value: number): number {
  return Number(value.toPrecision(4));
}
