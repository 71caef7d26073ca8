import { type Logger, pino } from "pino";
import { LOG_EVENTS, type LogLevel, type LogRecord } from "./events.ts";

export type { Logger } from "pino";

/** Options of `createLogger`. */
export interface CreateLoggerOptions {
  readonly vmId: string;
  readonly zone: string;
  /** Lowest level that is written; `info` by default. */
  readonly level?: LogLevel;
  /** Receives each line instead of standard output. */
  readonly write?: (line: string) => void;
}

const STANDARD_OUTPUT = 1;

/**
 * Creates a logger that writes JSON lines, to standard output unless `write` is given. Standard output is
 * written synchronously, so that the last line before the process ends is not lost.
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

/** A logger that never makes requests wait for the process that reads its output. */
export interface BoundedLogger {
  readonly log: Logger;
  /** Lines dropped so far because the output was not read; each write error counts as one more. */
  readonly droppedLines: number;
  /** Writes the buffered lines; those that are not read in time are lost. */
  close(): Promise<void>;
}

/** Bytes buffered while the output is not read; further lines are dropped. */
const MAX_BUFFERED_BYTES = 512 * 1024;

/** Lines are written in batches, at the latest after this time. */
const FLUSH_INTERVAL_MS = 250;
const FLUSH_BYTES = 4 * 1024;

/** How often dropped lines are reported. */
const DROP_REPORT_INTERVAL_MS = 5_000;

/** Time for the last lines to be read when the process ends. */
const CLOSE_TIMEOUT_MS = 200;

/** Creates a logger that drops lines rather than delay requests. */
export function createBoundedLogger(
  options: Omit<CreateLoggerOptions, "write"> & { readonly fd?: number },
): BoundedLogger {
  const destination = pino.destination({
    fd: options.fd ?? STANDARD_OUTPUT,
    sync: false,
    minLength: FLUSH_BYTES,
    maxLength: MAX_BUFFERED_BYTES,
  });
  let droppedLines = 0;
  let reportedLines = 0;
  destination.on("drop", () => droppedLines += 1);
  // An output that was closed must not stop the daemon.
  destination.on("error", () => droppedLines += 1);
  const log = createLogger({
    ...options,
    write: (line) => void destination.write(line),
  });
  const flushing = setInterval(() => destination.flush(), FLUSH_INTERVAL_MS);
  const reporting = setInterval(() => {
    if (droppedLines === reportedLines) return;
    const lines = droppedLines - reportedLines;
    reportedLines = droppedLines;
    logEvent(log, { event: "log_lines_dropped", lines });
  }, DROP_REPORT_INTERVAL_MS);
  flushing.unref();
  reporting.unref();
  return {
    log,
    get droppedLines() {
      return droppedLines;
    },
    close() {
      clearInterval(flushing);
      clearInterval(reporting);
      return new Promise((resolve) => {
        const end = () => {
          clearTimeout(timer);
          destination.destroy();
          resolve();
        };
        const timer = setTimeout(end, CLOSE_TIMEOUT_MS);
        destination.flush(end);
      });
    },
  };
}

/** Writes one event at the level that `LOG_EVENTS` gives for it. */
export function logEvent(log: Logger, record: LogRecord): void {
  log[LOG_EVENTS[record.event].level](record);
}

function openStandardOutput() {
  const destination = pino.destination({ fd: STANDARD_OUTPUT, sync: true });
  // A full disk behind standard output must not stop the daemon.
  destination.on("error", () => {});
  return destination;
}
