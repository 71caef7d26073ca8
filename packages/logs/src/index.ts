export {
  eventsReference,
  LOG_EVENTS,
  type LogEvent,
  type LogLevel,
  type LogRecord,
} from "./events.ts";
export { LineLimit, type LineLimitOptions } from "./line_limit.ts";
export {
  type BoundedLogger,
  createBoundedLogger,
  createLogger,
  type CreateLoggerOptions,
  logEvent,
  type Logger,
} from "./logger.ts";
export {
  type ReasonCounts,
  RefusalSummary,
  type RefusalSummaryOptions,
} from "./refusal_summary.ts";
