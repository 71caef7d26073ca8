import { build, type Histogram as HdrHistogram } from "hdr-histogram-js";

/** Labels of one counter, such as `{ outcome: "answered" }`. */
export type MetricLabels = Readonly<Record<string, string>>;

/** A number that only increases. */
export interface Counter {
  add(count?: number): void;
  readonly value: number;
}

/** A distribution of values in the unit that its name ends in. */
export interface Histogram {
  record(value: number): void;
}

/** Values of a histogram. The mean always comes with percentiles, since it hides a slow tail. */
export interface HistogramSummary {
  readonly count: number;
  readonly mean: number;
  readonly min: number;
  readonly p50: number;
  readonly p90: number;
  readonly p99: number;
  readonly p999: number;
  readonly max: number;
}

/** One counter or gauge as of now. */
export interface NumberReading {
  readonly name: string;
  readonly labels: MetricLabels;
  readonly value: number;
}

/** One histogram as of now. */
export interface HistogramReading {
  readonly name: string;
  readonly summary: HistogramSummary;
}

/** All metrics as of now, in the order in which they were created. */
export interface MetricsReading {
  readonly counters: readonly NumberReading[];
  readonly gauges: readonly NumberReading[];
  readonly histograms: readonly HistogramReading[];
}

const NAME = /^[a-z][a-z0-9_]{0,62}$/;
/** One hour in microseconds; larger values count as this one. */
const HIGHEST_VALUE = 3_600_000_000;
const SIGNIFICANT_DIGITS = 3;

/** Counters, gauges and histograms of one daemon. */
export class Metrics {
  readonly #counters = new Map<string, NumberCounter>();
  readonly #gauges = new Map<string, Gauge>();
  readonly #histograms = new Map<string, BoundedHistogram>();

  /** Returns the counter with a name and labels; creates it at zero if there is none. */
  counter(name: string, labels: MetricLabels = {}): Counter {
    const key = keyOf(name, labels);
    const found = this.#counters.get(key);
    if (found !== undefined) return found;
    const counter = new NumberCounter(name, labels);
    this.#counters.set(key, counter);
    return counter;
  }

  /** Registers a gauge whose value `read` returns each time the metrics are read; replaces one of the same name. */
  gauge(name: string, read: () => number): void {
    this.#gauges.set(keyOf(name, {}), { name, read });
  }

  /** Returns the histogram with a name, which ends in the unit of the values; creates it if there is none. */
  histogram(name: string): Histogram {
    const key = keyOf(name, {});
    const found = this.#histograms.get(key);
    if (found !== undefined) return found;
    const histogram = new BoundedHistogram(name);
    this.#histograms.set(key, histogram);
    return histogram;
  }

  /** Reads all metrics. */
  read(): MetricsReading {
    return {
      counters: [...this.#counters.values()].map(({ name, labels, value }) => ({
        name,
        labels,
        value,
      })),
      gauges: [...this.#gauges.values()].map(({ name, read }) => ({
        name,
        labels: {},
        value: read(),
      })),
      histograms: [...this.#histograms.values()].map((histogram) => ({
        name: histogram.name,
        summary: histogram.summary(),
      })),
    };
  }
}

interface Gauge {
  readonly name: string;
  readonly read: () => number;
}

class NumberCounter implements Counter {
  readonly name: string;
  readonly labels: MetricLabels;
  #value = 0;

  constructor(name: string, labels: MetricLabels) {
    this.name = name;
    this.labels = labels;
  }

  get value(): number {
    return this.#value;
  }

  add(count = 1): void {
    this.#value += count;
  }
}

class BoundedHistogram implements Histogram {
  readonly name: string;
  readonly #values: HdrHistogram = build({
    bitBucketSize: 32,
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_VALUE,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });

  /** The library computes the mean from all counts, which takes several times as long as a percentile. */
  #sum = 0;

  constructor(name: string) {
    this.name = name;
  }

  record(value: number): void {
    if (Number.isNaN(value)) return;
    const bounded = Math.min(Math.max(Math.round(value), 0), HIGHEST_VALUE);
    this.#values.recordValue(bounded);
    this.#sum += bounded;
  }

  summary(): HistogramSummary {
    const values = this.#values;
    const empty = values.totalCount === 0;
    const at = (percentile: number) => values.getValueAtPercentile(percentile);
    return {
      count: values.totalCount,
      mean: empty ? 0 : this.#sum / values.totalCount,
      min: empty ? 0 : at(0),
      p50: at(50),
      p90: at(90),
      p99: at(99),
      p999: at(99.9),
      max: values.maxValue,
    };
  }
}

/** Builds the key of a metric. Names of metrics and labels come only from this program, so an invalid one is a bug. */
function keyOf(name: string, labels: MetricLabels): string {
  for (const word of [name, ...Object.keys(labels)]) {
    if (!NAME.test(word)) {
      throw new Error(`Metric name "${word}" does not match ${NAME.source}`);
    }
  }
  const pairs = Object.entries(labels).sort(([a], [b]) => a < b ? -1 : 1);
  return JSON.stringify([name, pairs]);
}
