import { formatListenError } from "@tanagercove/errors";
import { logEvent, type Logger } from "@tanagercove/logs";
import type { Settings } from "@tanagercove/settings";
import { type Daemon, startDaemon } from "./daemon.ts";

/** Options of `runDaemon`. */
export interface RunDaemonOptions {
  readonly settings: Settings;
  readonly log: Logger;
  /** Version of the program, shown in status and log. */
  readonly programVersion: string;
}

/** How a daemon process ended. */
export type DaemonEnd =
  | { readonly kind: "stopped" }
  | { readonly kind: "drain_timed_out" }
  | { readonly kind: "interrupted" }
  | { readonly kind: "start_failed"; readonly message: string };

/** Exit code for a fault in this program (EX_SOFTWARE of sysexits.h). */
export const EXIT_CODE_INVARIANT_BROKEN = 70;

const STOP_SIGNALS: readonly NodeJS.Signals[] = ["SIGTERM", "SIGINT"];

/**
 * Runs one daemon until a signal arrives: the first signal drains it, a second one stops it at once.
 * An uncaught error ends the process, because the state may be wrong after it.
 */
export async function runDaemon(options: RunDaemonOptions): Promise<DaemonEnd> {
  const { log, settings } = options;
  const startedAtMs = performance.now();
  process.on("uncaughtException", (error) => stopOnBrokenInvariant(log, error));
  const signals = watchSignals();
  const daemon = await startDaemon(options);
  if (daemon.isErr) {
    const message = formatListenError(daemon.error);
    logEvent(log, { event: "daemon_start_failed", reason: message });
    return { kind: "start_failed", message };
  }
  const signal = await signals.first;
  const drainTimeoutMs = settings.daemon.drainTimeoutMs;
  logEvent(log, {
    event: "drain_started",
    signal,
    drain_timeout_ms: drainTimeoutMs,
  });
  const kind = await Promise.race([
    drain(daemon.value, drainTimeoutMs),
    signals.second.then(() => "interrupted" as const),
  ]);
  if (kind === "drain_timed_out") {
    logEvent(log, {
      event: "drain_timed_out",
      drain_timeout_ms: drainTimeoutMs,
    });
  }
  logEvent(log, {
    event: "daemon_stopped",
    outcome: kind,
    uptime_ms: Math.round(performance.now() - startedAtMs),
  });
  return { kind };
}

async function drain(
  daemon: Daemon,
  timeoutMs: number,
): Promise<"stopped" | "drain_timed_out"> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<"drain_timed_out">((resolve) => {
    timer = setTimeout(() => resolve("drain_timed_out"), timeoutMs);
  });
  const end = await Promise.race([
    daemon.close().then(() => "stopped" as const),
    timeout,
  ]);
  clearTimeout(timer);
  return end;
}

function watchSignals() {
  const waiters: ((signal: NodeJS.Signals) => void)[] = [];
  const nextSignal = () =>
    new Promise<NodeJS.Signals>((resolve) => waiters.push(resolve));
  const signals = { first: nextSignal(), second: nextSignal() };
  for (const signal of STOP_SIGNALS) {
    process.on(signal, () => waiters.shift()?.(signal));
  }
  return signals;
}

function stopOnBrokenInvariant(log: Logger, error: unknown): never {
  const isError = error instanceof Error;
  logEvent(log, {
    event: "invariant_broken",
    message: isError ? error.message : String(error),
    stack: isError ? error.stack : undefined,
  });
  process.exit(EXIT_CODE_INVARIANT_BROKEN);
}
