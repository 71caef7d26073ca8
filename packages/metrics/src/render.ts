import type {
  HistogramReading,
  HistogramSummary,
  MetricLabels,
  MetricsReading,
  NumberReading,
} from "./metrics.ts";

const PREFIX = "tanagercove_";
const QUANTILES: readonly {
  readonly quantile: string;
  readonly field: keyof HistogramSummary;
}[] = [
  { quantile: "0", field: "min" },
  { quantile: "0.5", field: "p50" },
  { quantile: "0.9", field: "p90" },
  { quantile: "0.99", field: "p99" },
  { quantile: "0.999", field: "p999" },
  { quantile: "1", field: "max" },
];

/** Renders metrics in the Prometheus text format; a histogram becomes a summary and a gauge of its mean. */
export function renderMetricsText(reading: MetricsReading): string {
  return [
    ...renderNumbers(reading.counters, { type: "counter", suffix: "_total" }),
    ...renderNumbers(reading.gauges, { type: "gauge", suffix: "" }),
    ...reading.histograms.flatMap(renderHistogram),
    "",
  ].join("\n");
}

function renderNumbers(
  readings: readonly NumberReading[],
  { type, suffix }: { readonly type: string; readonly suffix: string },
): readonly string[] {
  const names = [...new Set(readings.map(({ name }) => name))];
  return names.flatMap((name) => [
    `# TYPE ${PREFIX}${name}${suffix} ${type}`,
    ...readings.filter((reading) => reading.name === name).map((reading) =>
      `${PREFIX}${name}${suffix}${
        renderLabels(reading.labels)
      } ${reading.value}`
    ),
  ]);
}

function renderHistogram({ name, summary }: HistogramReading): string[] {
  const full = `${PREFIX}${name}`;
  return [
    `# TYPE ${full} summary`,
    ...QUANTILES.map(({ quantile, field }) =>
      `${full}{quantile="${quantile}"} ${summary[field]}`
    ),
    `${full}_sum ${summary.mean * summary.count}`,
    `${full}_count ${summary.count}`,
    `# TYPE ${full}_mean gauge`,
    `${full}_mean ${summary.mean}`,
  ];
}

function renderLabels(labels: MetricLabels): string {
  const pairs = Object.entries(labels).map(([name, value]) =>
    `${name}="${escapeLabel(value)}"`
  );
  return pairs.length === 0 ? "" : `{${pairs.join(",")}}`;
}

function escapeLabel(value: string): string {
  return value.replace(/[\\"]/g, "\\$&").replace(/\n/g, "\\n");
}
