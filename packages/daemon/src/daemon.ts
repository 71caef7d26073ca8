import { Result } from "true-myth";
import { type ListenError, listenErrorOf } from "@tanagercove/errors";
import { logEvent, type Logger, RefusalSummary } from "@tanagercove/logs";
import { Metrics, readState } from "@tanagercove/metrics";
import type { Settings } from "@tanagercove/settings";
import { createConfiguration } from "./configuration.ts";
import type { DaemonState, DaemonSummary } from "./daemon_summary.ts";
import { gatherFleetStatus } from "./fleet_status.ts";
import { startOperatorsServer } from "./operators_server.ts";
import { openPeerTransport } from "./peer_transport.ts";
import { createRequestDecisions } from "./request_decisions.ts";
import { type RequestPath, startRequestPath } from "./request_path.ts";
import { withWireNames } from "./wire_names.ts";

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
  /**
   * Stops accepting requests, lets those in flight finish within the drain timeout and releases all resources.
   */
  close(): Promise<void>;
}

interface Closable {
  close(): Promise<void>;
}

/** Starts one daemon: opens the operators' port, then the ports of the request path, then joins the fleet. */
export async function startDaemon(
  options: StartDaemonOptions,
): Promise<Result<Daemon, ListenError>> {
  const { settings, log } = options;
  const startedAtMs = performance.now();
  const opened = openPeerTransport({ settings, log });
  if (opened.isErr) return Result.err(opened.error);
  const transport = opened.value;
  const metrics = new Metrics();
  let draining = false;
  let listedAsLeaving = false;
  let upstreamIsDraining = false;
  let leavingAnnounced = Promise.resolve();
  let requestPath: RequestPath | undefined = undefined;
  const decisions = createRequestDecisions({ settings, log });
  const configuration = createConfiguration({
    settings,
    log,
    transport,
    summary,
    onVms: (vms) => {
      decisions.setVms(vms);
      listedAsLeaving = vms.some(({ id, state }) =>
        id === settings.daemon.vmId && state === "leaving"
      );
    },
  });
  const { distribution, membership, stores } = configuration;

  function state(): DaemonState {
    if (draining) return "draining";
    return configuration.routingTable() === undefined ? "starting" : "serving";
  }

  /**
   * Includes this VM while it or its upstream drains, since an attempt on it would be refused and use up a
   * retry. `membership.leavingVms()` can lack this VM, as its leaving notice goes only to peers.
   */
  function leavingVms(): ReadonlySet<string> {
    const others = membership.leavingVms();
    if (!upstreamIsDraining && !draining) return others;
    return new Set([...others, settings.daemon.vmId]);
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
      revision: stores.lists.held?.revision,
      hash: stores.lists.held?.hash,
      vms_revision: stores.vms.held?.revision,
      confirmation_age_ms: distribution.confirmationAgeMs,
      floor_unconfirmed: distribution.floorUnconfirmed,
      refused: stores.lists.refused,
    };
  }

  // Closed in reverse order.
  const components: Closable[] = [];
  const operators = await startOperatorsServer({
    ...settings.operators,
    state: {
      summary,
      fleetStatus: () =>
        gatherFleetStatus({
          own: summary(),
          vms: membership.vms,
          fetchSummary: (vm) => configuration.fetchSummary(vm),
        }),
      dump: () => ({
        summary: summary(),
        lists: stores.lists.held?.texts,
        vms: stores.vms.held?.texts.vms,
        ...configuration.dump(),
        requests: requestPath?.proxy.state(),
        peer_keys: withWireNames(transport.state()),
        ejected_upstreams: decisions.ejected(),
      }),
      metrics: () => {
        const reading = metrics.read();
        const gauges = [
          ...reading.gauges,
          ...readState("requests", requestPath?.proxy.state()),
          ...readState("distribution", distribution.dump()),
          ...readState("control_bytes", configuration.controlBytes()),
          ...readState("peer_keys", transport.state()),
        ];
        return { ...reading, gauges };
      },
    },
  });
  if (operators.isErr) {
    await configuration.close();
    await transport.close();
    return Result.err(operators.error);
  }
  components.push(operators.value, transport, {
    async close() {
      await leavingAnnounced;
      await configuration.close();
    },
  });

  const started = await catchListenError(() =>
    startRequestPath({
      settings,
      decisions,
      transport,
      routingTable: () => configuration.routingTable(),
      whenFresh: () => distribution.whenFresh(),
      leavingVms,
      isLeaving: () => listedAsLeaving,
      onUpstreamDraining: (upstreamDraining) => {
        upstreamIsDraining = upstreamDraining;
        logEvent(log, {
          event: "upstream_state_changed",
          state: upstreamDraining ? "draining" : "ready",
        });
        if (upstreamDraining) void distribution.announceLeaving();
        else if (!draining) membership.stopLeaving();
      },
      handleRpc: (request, response) =>
        void configuration.handleRpc(request, response),
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
  configuration.start();
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
      leavingAnnounced = distribution.announceLeaving();
      await closeAll(components);
    },
  });
}

async function closeAll(components: readonly Closable[]): Promise<void> {
  for (const component of components.toReversed()) await component.close();
}

/** Returns the error of a port that could not be opened, instead of throwing it. */
async function catchListenError<T>(
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
