import t from "tap";
import { Metrics, readState, renderMetricsText } from "./index.ts";

t.test("should count each set of labels on its own, whatever their order", (t) => {
  const metrics = new Metrics();
  metrics.counter("requests", { outcome: "answered", zone: "a" }).add();
  metrics.counter("requests", { zone: "a", outcome: "answered" }).add(2);
  metrics.counter("requests", { outcome: "unknown", zone: "a" }).add();
  t.same(metrics.read().counters.map(({ value }) => value), [3, 1]);
  t.end();
});

t.test("should show percentiles beside a mean, so that a slow tail is not hidden", (t) => {
  const metrics = new Metrics();
  const histogram = metrics.histogram("latency_us");
  for (let i = 0; i < 985; i++) histogram.record(100);
  for (let i = 0; i < 15; i++) histogram.record(50_000);
  const { summary } = metrics.read().histograms[0]!;
  t.equal(summary.count, 1_000);
  t.equal(summary.min, 100);
  t.equal(summary.p50, 100);
  t.ok(Math.abs(summary.p99 - 50_000) < 100, "three significant digits");
  t.ok(Math.abs(summary.mean - 848.5) < 5);
  t.end();
});

// Guards against a daemon that stops for tens of milliseconds at each read of its metrics, which answers then wait for.
t.test("should compute the mean as values are recorded", (t) => {
  const metrics = new Metrics();
  const histogram = metrics.histogram("latency_us");
  for (const value of [1, 1_000_000, 2_000_003]) histogram.record(value);
  t.equal(metrics.read().histograms[0]!.summary.mean, 1_000_001.3333333334);
  t.end();
});

t.test("should take any number without throwing, since a clock can step back", (t) => {
  const metrics = new Metrics();
  const histogram = metrics.histogram("latency_us");
  t.equal(metrics.read().histograms[0]!.summary.mean, 0, "empty");
  for (const value of [-5, NaN, Infinity, 0.4]) histogram.record(value);
  const { summary } = metrics.read().histograms[0]!;
  t.equal(summary.count, 3);
  t.equal(summary.min, 0);
  t.end();
});

t.test("should render text that a Prometheus reader accepts, with labels escaped", (t) => {
  const metrics = new Metrics();
  metrics.counter("requests", { reason: 'a"\\\n' }).add();
  metrics.gauge("queue_length", () => 7);
  metrics.histogram("latency_us").record(10);
  const text = renderMetricsText(metrics.read());
  t.match(text, 'tanagercove_requests_total{reason="a\\"\\\\\\n"} 1\n');
  t.match(text, "# TYPE tanagercove_queue_length gauge\n");
  t.match(text, 'tanagercove_latency_us{quantile="0.99"} 10\n');
  t.match(text, "tanagercove_latency_us_mean 10\n");
  for (const line of text.trimEnd().split("\n")) {
    t.match(line, /^(# TYPE \w+ \w+|\w+(\{.*\})? [\d.e+]+)$/);
  }
  t.end();
});

t.test("should read all numbers and booleans of a component's state except in arrays, so that metrics show new ones too", (t) => {
  const state = {
    leaving: true,
    division: "owner",
    callers: { brokenOff: 2, reasons: { queue_full: 3 } },
    list: [1, 2],
    none: undefined,
  };
  const shown = readState("requests", state).map(({ name, value }) =>
    `${name} ${value}`
  );
  t.same(shown, [
    "requests_leaving 1",
    "requests_callers_broken_off 2",
    "requests_callers_reasons_queue_full 3",
  ]);
  t.end();
});
