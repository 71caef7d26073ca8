import { Result } from "true-myth";
import type { CatalogSource } from "@tanagercove/catalog";
import {
  formatListenError,
  type ListenError,
  listenErrorOf,
} from "@tanagercove/errors";
import { createBoundedLogger, logEvent, type Logger } from "@tanagercove/logs";
import type { RequestHeaderNames, SidecarSettings } from "./settings.ts";
import { type Sidecar, startSidecar } from "./sidecar.ts";

/** The settings, or all problems found in them. */
export type SettingsResult = Result<SidecarSettings, readonly string[]>;

/** Options of `runSidecar`. */
export interface RunSidecarOptions {
  readonly programVersion: string;
  /** Reads the settings file; called at the start and on SIGHUP. */
  readonly readSettings: () => SettingsResult;
  readonly names: RequestHeaderNames;
  readonly openSource: (settings: SidecarSettings) => CatalogSource;
}

/** Exit code for invalid settings and for addresses that cannot be opened. */
const EXIT_CODE_SETTINGS = 2;

/**
 * Time left for the last log lines; some writes take 1 to 50 ms. A stop waits for the sidecar to close until this long
 * before the drain timeout, at which the process is killed.
 */
const EXIT_MARGIN_MS = 150;

/** Exit code for a fault in this program (EX_SOFTWARE of sysexits.h). */
const EXIT_CODE_FAULT = 70;

/** Runs a sidecar until a stop signal, and returns the exit code. */
export async function runSidecar(options: RunSidecarOptions): Promise<number> {
  const startedMs = performance.now();
  const settingsResult = options.readSettings();
  if (settingsResult.isErr) {
    const { log, close } = createBoundedLogger({ vmId: "", zone: "" });
    const problems = settingsResult.error.join("; ");
    logEvent(log, { event: "settings_refused", problems });
    await close();
    return EXIT_CODE_SETTINGS;
  }
  const settings = settingsResult.value;
  const { vmId, zone } = settings;
  const logger = createBoundedLogger({ vmId, zone });
  const { log } = logger;
  const stopSignal = new Promise<NodeJS.Signals>((resolve) => {
    for (const signal of ["SIGTERM", "SIGINT"] as const) {
      process.on(signal, resolve);
    }
  });
  // A SIGHUP before the start is complete must not end the process.
  process.on("SIGHUP", () => {});
  process.on("uncaughtException", (error) => {
    const { message, stack } = error;
    logEvent(log, { event: "invariant_broken", message, stack });
    void logger.close().then(() => process.exit(EXIT_CODE_FAULT));
  });

  function reload(running: Sidecar): void {
    const next = options.readSettings();
    if (next.isErr) {
      const problems = next.error.join("; ");
      logEvent(log, { event: "settings_refused", problems });
      return;
    }
    running.reload(next.value);
    const changed = changedKeys(settings, next.value).join(",");
    logEvent(log, { event: "settings_reloaded", changed });
  }

  const started = await start(options, { settings, log });
  if (started.isErr) {
    const reason = formatListenError(started.error);
    logEvent(log, { event: "daemon_start_failed", reason });
    await logger.close();
    return EXIT_CODE_SETTINGS;
  }
  const sidecar = started.value;
  process.on("SIGHUP", () => reload(sidecar));
  logEvent(log, {
    event: "sidecar_started",
    version: options.programVersion,
    service: settings.service,
    caller_address: `${settings.caller.address}:${settings.caller.port}`,
    peer_address: `${settings.peer.address}:${settings.peer.port}`,
    metrics_port: settings.metricsPort,
    start_ms: Math.round(performance.now() - startedMs),
  });
  const signal = await stopSignal;
  const drain_timeout_ms = settings.drainTimeoutMs;
  logEvent(log, { event: "drain_started", signal, drain_timeout_ms });
  const outcome = await closeInTime(sidecar, drain_timeout_ms);
  if (outcome === "drain_timed_out") {
    logEvent(log, { event: "drain_timed_out", drain_timeout_ms });
  }
  logEvent(log, {
    event: "daemon_stopped",
    outcome,
    uptime_ms: Math.round(performance.now() - startedMs),
  });
  await logger.close();
  return 0;
}

/** Closes the sidecar; stops waiting shortly before the process is killed, so that the last log lines are written. */
async function closeInTime(
  sidecar: Sidecar,
  drainTimeoutMs: number,
): Promise<"stopped" | "drain_timed_out"> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<"drain_timed_out">((resolve) => {
    timer = setTimeout(
      () => resolve("drain_timed_out"),
      drainTimeoutMs - EXIT_MARGIN_MS,
    );
  });
  const closed = sidecar.close().then(() => "stopped" as const);
  const outcome = await Promise.race([closed, timeout]);
  clearTimeout(timer);
  return outcome;
}

/** Starts the sidecar; returns an error if an address cannot be opened. */
async function start(
  { names, openSource }: RunSidecarOptions,
  { settings, log }: { settings: SidecarSettings; log: Logger },
): Promise<Result<Sidecar, ListenError>> {
  try {
    const source = openSource(settings);
    return Result.ok(await startSidecar({ settings, names, source, log }));
  } catch (error) {
    const listenError = listenErrorOf(error);
    if (listenError === undefined) throw error;
    return Result.err(listenError);
  }
}

function changedKeys(
  before: SidecarSettings,
  after: SidecarSettings,
): readonly string[] {
  return (Object.keys(after) as (keyof SidecarSettings)[]).filter((key) =>
    JSON.stringify(before[key]) !== JSON.stringify(after[key])
  );
}
