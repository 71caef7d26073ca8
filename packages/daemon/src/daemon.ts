import { createServer } from "node:http";
import type { Logger } from "@tanagercove/logs";
import { startProxyServer } from "@tanagercove/proxy";
import { RPC_PATH } from "@tanagercove/rpc";
import type { Settings } from "@tanagercove/settings";
import { createConfiguration } from "./configuration.ts";
import { startPeerServer } from "./peer_server.ts";

/** Options of `startDaemon`. */
export interface StartDaemonOptions {
  readonly settings: Settings;
  readonly log: Logger;
}

/** A running daemon. */
export interface Daemon {
  /** Stops taking requests, lets those in flight end and releases everything. */
  close(): Promise<void>;
}

/** Starts one daemon. */
export async function startDaemon(
  { settings, log }: StartDaemonOptions,
): Promise<Daemon> {
  const { vmId, zone, address } = settings.daemon;
  const configuration = createConfiguration({
    vmId,
    zone,
    address,
    platformUrl: settings.platform.url,
    log,
  });
  const peerServer = await startPeerServer({
    address,
    port: settings.daemon.peerPort,
    handlers: { [RPC_PATH]: configuration.handleRpc },
  });
  const proxy = await startProxyServer({
    address,
    callerPort: settings.daemon.callerPort,
    routingTable: () => configuration.routingTable(),
  });
  const operators = createServer((_request, response) => {
    const held = configuration.stores.lists.held;
    response.setHeader("content-type", "application/json");
    response.end(JSON.stringify({
      vm_id: settings.daemon.vmId,
      zone: settings.daemon.zone,
      revision: held?.revision,
      hash: held?.hash,
      refused: configuration.stores.lists.refused,
    }));
  });
  operators.listen(settings.operators.port, settings.operators.address);
  configuration.start();
  log.info({ event: "daemon_started" });

  return {
    async close() {
      await proxy.close();
      await configuration.close();
      await peerServer.close();
      operators.close();
      operators.closeAllConnections();
      log.info({ event: "daemon_stopped" });
    },
  };
}
