import { type Logger, pino } from "pino";

export type { Logger } from "pino";

/** Stable names of log events. */
export type LogEvent =
  | "daemon_started"
  | "daemon_stopped"
  | "version_taken"
  | "version_refused"
  | "platform_lost"
  | "platform_back";

/** Options of `createLogger`. */
export interface CreateLoggerOptions {
  readonly vmId: string;
  readonly zone: string;
}

/** Creates a logger that writes JSON lines to standard output synchronously. */
export function createLogger(options: CreateLoggerOptions): Logger {
  return pino(
    { base: { vm_id: options.vmId, zone: options.zone } },
    pino.destination({ fd: 1, sync: true }),
  );
}
