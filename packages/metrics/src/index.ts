export {
  type Counter,
  type Histogram,
  type HistogramReading,
  type HistogramSummary,
  type MetricLabels,
  Metrics,
  type MetricsReading,
  type NumberReading,
} from "./metrics.ts";
export { readState } from "./read_state.ts";
export { renderMetricsText } from "./render.ts";
export { type ByteTotals, SocketByteCounter } from "./socket_byte_counter.ts";
