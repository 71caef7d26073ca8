import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { createServer } from "node:http";
import { createPlainTransport, type PeerTransport } from "@tanagercove/keys";
import {
  PEER_SERVER_OPTIONS,
  type Proxy,
  startProxy,
} from "@tanagercove/proxy";
import type { RoutingTable } from "@tanagercove/routing";
import type { Settings } from "@tanagercove/settings";
import type { RequestDecisions } from "./request_decisions.ts";

/** Options of `startRequestPath`. */
export interface StartRequestPathOptions {
  readonly settings: Settings;
  readonly decisions: RequestDecisions;
  /** Connections between daemons; without TLS by default. */
  readonly transport?: PeerTransport;
  readonly routingTable: () => RoutingTable | undefined;
  /**
   * Provided by the distribution. Resolves at once, except after a pause of the process: then it waits until
   * the versions are refreshed, at most `pause_gate_ms`.
   */
  readonly whenFresh?: () => Promise<void> | undefined;
  /** Ids of the VMs that are leaving, possibly also this one; new requests are not sent to their upstreams. */
  readonly leavingVms?: () => ReadonlySet<string>;
  /** Whether the VM list marks this VM as leaving. */
  readonly isLeaving?: () => boolean;
  readonly onUpstreamDraining?: (draining: boolean) => void;
  /** Handles requests on the peer port other than forwarded requests, such as `/rpc`. */
  readonly handleRpc?: (
    request: IncomingMessage,
    response: ServerResponse,
  ) => void;
}

/** The request path of a daemon, including the server of its peer port. */
export interface RequestPath {
  readonly proxy: Proxy;
  close(options?: { readonly drainTimeoutMs?: number }): Promise<void>;
}

/** Starts the proxy and the server of the peer port according to the settings. */
export async function startRequestPath(
  { settings, decisions, handleRpc, ...ports }: StartRequestPathOptions,
): Promise<RequestPath> {
  const transport = ports.transport ?? createPlainTransport();
  const { daemon, requests, upstream } = settings;
  const proxy = await startProxy({
    ...ports,
    ...decisions,
    transport,
    address: daemon.address,
    callerAddress: daemon.callerAddress,
    callerPort: daemon.callerPort,
    zone: daemon.zone,
    service: daemon.service,
    upstream,
    identity: {
      kind: requests.identity,
      trustedCallers: requests.trustedCallers,
      customerKey: requests.customerKey,
    },
    division: requests.division,
    defaultDeadlineMs: requests.defaultDeadlineMs,
    maxBodyBytes: requests.maxBodyBytes,
    bufferBytes: requests.bufferBytes,
    requestTimeoutMs: requests.requestTimeoutMs,
    maxDepth: requests.maxDepth,
    connections: upstream.connections,
    idleConnectionMs: upstream.idleConnectionMs,
    healthIntervalMs: upstream.healthIntervalMs,
    healthTimeoutMs: upstream.healthTimeoutMs,
  });
  const server = createServer(PEER_SERVER_OPTIONS, (request, response) => {
    if (proxy.handleForwarded(request, response)) return;
    if (handleRpc !== undefined) return handleRpc(request, response);
    response.writeHead(404).end();
  });
  proxy.attachPeerServer(server);
  const dropHandshakes = transport.secureServer(server);
  await listen(server, settings);
  return {
    proxy,
    async close(options) {
      await proxy.close(options);
      await new Promise<void>((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
        dropHandshakes();
      });
    },
  };
}

function listen(server: Server, { daemon }: Settings): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(daemon.peerPort, daemon.address, resolve);
  });
}
