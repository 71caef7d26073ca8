import { type Logger, pino } from "pino";
import { LOG_EVENTS, type LogLevel, type LogRecord } from "./events.ts";

export type { Logger } from "pino";

/** Options of `createLogger`. */
export interface CreateLoggerOptions {
  readonly vmId: string;
  readonly zone: string;
  /** Least level that is written; `info` by default. */
  readonly level?: LogLevel;
  /** Receives each line in place of standard output. */
  readonly write?: (line: string) => void;
}

const STANDARD_OUTPUT = 1;

/**
 * Creates a logger that writes JSON lines to standard output. Writing is synchronous, so that the
 * last line before the process ends is never lost.
 */
export function createLogger(options: CreateLoggerOptions): Logger {
  return pino(
    {
      base: { vm_id: options.vmId, zone: options.zone },
      level: options.level ?? "info",
      formatters: { level: (label) => ({ level: label }) },
      timestamp: () => `,"time_ms":${Date.now()}`,
    },
    options.write === undefined
      ? openStandardOutput()
      : { write: options.write },
  );
}

/** Writes one event with the level that the event table gives it. */
export function logEvent(log: Logger, record: LogRecord): void {
  log[LOG_EVENTS[record.event].level](record);
}

function openStandardOutput() {
  const destination = pino.destination({ fd: STANDARD_OUTPUT, sync: true });
  // A full disk behind standard output must not stop the daemon.
  destination.on("error", () => {});
  return destination;
}
