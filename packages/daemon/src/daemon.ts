import { Result } from "true-myth";
import { PlatformReader } from "@tanagercove/distribution";
import { type ListenError, listenErrorOf } from "@tanagercove/errors";
import {
  parseVms,
  plansWithoutAllowance,
  validateLists,
} from "@tanagercove/lists";
import { logEvent, type Logger, RefusalSummary } from "@tanagercove/logs";
import { Metrics, readState } from "@tanagercove/metrics";
import { createHttpPlatform } from "@tanagercove/platform";
import { computeRoutingTable, type RoutingTable } from "@tanagercove/routing";
import type { Settings } from "@tanagercove/settings";
import type { ListProblem, Lists, Vm } from "@tanagercove/types";
import { SnapshotStore } from "@tanagercove/versions";
import type { DaemonState, DaemonSummary } from "./daemon_summary.ts";
import { gatherFleetStatus } from "./fleet_status.ts";
import { startOperatorsServer } from "./operators_server.ts";
import { createRequestDecisions } from "./request_decisions.ts";
import { type RequestPath, startRequestPath } from "./request_path.ts";

/** Options of `startDaemon`. */
export interface StartDaemonOptions {
  readonly settings: Settings;
  readonly log: Logger;
  /** Version of the program, shown in status and log. */
  readonly programVersion: string;
}

/** A running daemon. */
export interface Daemon {
  summary(): DaemonSummary;
  /** Stops taking requests, lets those in flight end and releases everything. */
  close(): Promise<void>;
}

interface Closable {
  close(): Promise<void>;
}

/** Starts one daemon: first the operators' port, then the configuration, then the request path. */
export async function startDaemon(
  options: StartDaemonOptions,
): Promise<Result<Daemon, ListenError>> {
  const { settings, log } = options;
  const startedAtMs = performance.now();
  const metrics = new Metrics();
  let draining = false;
  let table: RoutingTable | undefined;
  let lists: Lists | undefined;
  let vms: readonly Vm[] = [];
  let requestPath: RequestPath | undefined = undefined;
  const decisions = createRequestDecisions(settings);

  const recompute = () => {
    const revision = listsStore.held?.revision;
    if (lists === undefined || revision === undefined) return;
    table = computeRoutingTable({ revision, lists, vms });
  };
  const listsStore = new SnapshotStore<"lists">({
    kind: "lists",
    validate: ({ texts }) => reasonOf(validateLists(texts)),
    onChange: ({ held }) => {
      lists = validateLists(held.texts).unwrapOr(undefined as never);
      recompute();
      logVersionTaken(log, { ...held, lists });
    },
    onRefused: (refused) =>
      logEvent(log, { event: "version_refused", kind: "lists", ...refused }),
  });
  const vmsStore = new SnapshotStore<"vms">({
    kind: "vms",
    validate: ({ texts }) => reasonOf(parseVms(texts.vms)),
    onChange: ({ held }) => {
      vms = parseVms(held.texts.vms).unwrapOr([]);
      decisions.setVms(vms);
      recompute();
      logVersionTaken(log, held);
    },
    onRefused: (refused) =>
      logEvent(log, { event: "version_refused", kind: "vms", ...refused }),
  });

  function state(): DaemonState {
    if (draining) return "draining";
    return table === undefined ? "starting" : "serving";
  }

  function summary(): DaemonSummary {
    const { vmId, zone, region, service } = settings.daemon;
    return {
      vm_id: vmId,
      zone,
      region,
      service,
      state: state(),
      program_version: options.programVersion,
      uptime_ms: Math.round(performance.now() - startedAtMs),
      revision: listsStore.held?.revision,
      hash: listsStore.held?.hash,
      vms_revision: vmsStore.held?.revision,
      floor_unconfirmed: false,
      refused: listsStore.refused,
    };
  }

  // Opened in this order, closed in the reverse one.
  const components: Closable[] = [];
  const operators = await startOperatorsServer({
    ...settings.operators,
    state: {
      summary,
      // TODO: ask the other daemons once `rpc` has `status.summary`.
      fleetStatus: () =>
        gatherFleetStatus({
          own: summary(),
          vms,
          ask: () =>
            Promise.resolve(
              Result.err({ kind: "unreachable", message: "Not supported yet" }),
            ),
        }),
      dump: () => ({
        summary: summary(),
        lists: listsStore.held?.texts,
        vms: vmsStore.held?.texts.vms,
        requests: requestPath?.proxy.state(),
      }),
      metrics: () => {
        const reading = metrics.read();
        const requests = readState("requests", requestPath?.proxy.state());
        return { ...reading, gauges: [...reading.gauges, ...requests] };
      },
    },
  });
  if (operators.isErr) return Result.err(operators.error);
  components.push(operators.value);

  const platform = createHttpPlatform({
    url: settings.platform.url,
    localAddress: settings.daemon.address,
    timeoutMs: settings.platform.timeoutMs,
  });
  components.push(platform);
  const reader = new PlatformReader({
    platform,
    lists: listsStore,
    vms: vmsStore,
    waitMs: settings.platform.watchWaitMs,
  });
  components.push(reader);

  const started = await listening(() =>
    startRequestPath({
      settings,
      decisions,
      routingTable: () => table,
      onUpstreamDraining: (draining) =>
        logEvent(log, {
          event: "upstream_state_changed",
          state: draining ? "draining" : "ready",
        }),
    })
  );
  if (started.isErr) {
    await closeAll(components);
    return Result.err(started.error);
  }
  requestPath = started.value;
  const { proxy } = requestPath;
  components.push(
    new RefusalSummary({ log, counts: () => proxy.state().callers.reasons }),
  );
  const { drainTimeoutMs } = settings.daemon;
  components.push({ close: () => started.value.close({ drainTimeoutMs }) });
  reader.start();
  logEvent(log, {
    event: "daemon_started",
    version: options.programVersion,
    address: settings.daemon.address,
    caller_port: settings.daemon.callerPort,
    peer_port: settings.daemon.peerPort,
    operators_port: operators.value.port,
  });

  return Result.ok({
    summary,
    async close() {
      draining = true;
      await closeAll(components);
    },
  });
}

async function closeAll(components: readonly Closable[]): Promise<void> {
  for (const component of components.toReversed()) await component.close();
}

/** Gives the error of a port that could not be opened as a value. */
async function listening<T>(
  open: () => Promise<T>,
): Promise<Result<T, ListenError>> {
  try {
    return Result.ok(await open());
  } catch (error) {
    const listenError = listenErrorOf(error);
    if (listenError === undefined) throw error;
    return Result.err(listenError);
  }
}

function logVersionTaken(
  log: Logger,
  version: {
    readonly kind: "lists" | "vms";
    readonly revision: number;
    readonly hash: string;
    readonly lists?: Lists;
  },
): void {
  const { kind, revision, hash, lists } = version;
  logEvent(log, { event: "version_taken", kind, revision, hash });
  const plans = lists === undefined ? [] : plansWithoutAllowance(lists);
  if (plans.length === 0) return;
  logEvent(log, {
    event: "plans_without_allowance",
    revision,
    plans: plans.join(", "),
  });
}

function reasonOf(
  verdict: {
    readonly isErr: boolean;
    readonly error?: readonly ListProblem[];
  },
): string | undefined {
  if (!verdict.isErr) return undefined;
  return verdict.error?.map(({ place, message }) =>
    `${place.list}:${place.line}: ${message}`
  )
    .join("; ");
}
