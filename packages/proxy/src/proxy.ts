import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerOptions,
  type ServerResponse,
} from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { ALL_FIELDS } from "@tanagercove/headers";
import { createPlainTransport, type PeerTransport } from "@tanagercove/keys";
import type { RoutingTable } from "@tanagercove/routing";
import { createCallerHandler } from "./caller_handler.ts";
import {
  type ConnectionTracker,
  trackConnections,
} from "./connection_tracker.ts";
import {
  type ConnectionOptions,
  ConnectionPools,
  PEER_MAX_HEADER_BYTES,
} from "./connections.ts";
import { type Division, FORWARD_PREFIX } from "./divisions.ts";
import { createForwardedHandler } from "./forwarded_handler.ts";
import { createIdentityCheck, type IdentityOptions } from "./identity.ts";
import {
  createDefaultAdmission,
  createDefaultBalancing,
  createDefaultRetries,
  createDefaultUpstreamWatch,
} from "./default_ports.ts";
import type {
  AdmissionPort,
  BalancingPort,
  RetriesPort,
  UpstreamWatchPort,
} from "./ports.ts";
import {
  type Percentiles,
  RequestCounters,
  type RequestCounts,
} from "./request_counters.ts";
import { createRequestIds } from "./request_ids.ts";
import { createTimingReporter } from "./timing.ts";
import { type UpstreamHealth, watchUpstreamHealth } from "./upstream_health.ts";
import { refuse } from "./write_response.ts";

/** Options of `startProxy`. */
export interface StartProxyOptions {
  /** IP of this VM; also the source of the proxy's connections. */
  readonly address: string;
  /** Address for callers; `address` by default. */
  readonly callerAddress?: string;
  /** Port for callers; 0 chooses one. */
  readonly callerPort: number;
  readonly zone: string;
  /** Service of this VM's upstream. */
  readonly service: string;
  readonly upstream: { readonly address: string; readonly port: number };
  /** The routing table in force, or undefined before the first version. */
  readonly routingTable: () => RoutingTable | undefined;
  /**
   * Awaited before a request is routed or admitted. After a pause of the process, the promise resolves when
   * the versions have been refreshed, or after a time limit. Otherwise it is undefined or resolved.
   */
  readonly whenFresh?: () => Promise<void> | undefined;
  /** Ids of VMs that are leaving, possibly also this one; they get no new work. */
  readonly leavingVms?: () => ReadonlySet<string>;
  /** Whether the VM list marks this VM as leaving; it then refuses forwarded work. */
  readonly isLeaving?: () => boolean;
  /** Called when the upstream starts or stops reporting `draining`. */
  readonly onUpstreamDraining?: (draining: boolean) => void;
  /** Opens and authorizes the connections between daemons; without TLS by default. */
  readonly transport?: PeerTransport;
  readonly balancing?: BalancingPort;
  readonly admission?: AdmissionPort;
  readonly upstreamWatch?: UpstreamWatchPort;
  readonly retries?: RetriesPort;
  readonly division?: Division;
  readonly identity?: IdentityOptions;
  readonly defaultDeadlineMs?: number;
  readonly maxBodyBytes?: number;
  /** Responses up to this size are received completely before their first byte is passed on. */
  readonly bufferBytes?: number;
  /** Time within which a request must have been received completely. */
  readonly requestTimeoutMs?: number;
  /** Greatest accepted depth of a call chain; a deeper request is refused. */
  readonly maxDepth?: number;
  /** Limit on requests that run on the upstream at once; used only if `admission` is absent. */
  readonly slots?: number;
  /** Limit on connections to an upstream, the one for health probes included; values below 2 count as 2. */
  readonly connections?: number;
  readonly idleConnectionMs?: number;
  readonly healthIntervalMs?: number;
  readonly healthTimeoutMs?: number;
}

/** State of a proxy, as plain JSON. */
export interface ProxyState {
  readonly division: Division;
  readonly leaving: boolean;
  readonly upstream: UpstreamHealth | undefined;
  readonly upstreamHealthFailures: number;
  /** Whether the upstream answers the requests that this daemon sends. */
  readonly upstreamWatch: ReturnType<UpstreamWatchPort["state"]>;
  /** Requests received from callers. */
  readonly callers: RequestCounts;
  /** Requests received from other daemons. */
  readonly forwarded: RequestCounts;
  /** Time that the daemons add to callers' requests, on top of the upstream's own; not for streamed responses. */
  readonly addedTime: Percentiles;
  /** Time that this daemon adds to forwarded requests, the wait for a slot included; not for streamed responses. */
  readonly forwardedAddedTime: Percentiles;
}

/** Options of `Proxy.close`. */
export interface CloseProxyOptions {
  /**
   * Time for requests in flight to end, counted from the close of the listener (at most 1 s after the call);
   * 30,000 by default.
   */
  readonly drainTimeoutMs?: number;
}

/** A running proxy: the part of a daemon that routes and forwards requests. */
export interface Proxy {
  readonly callerPort: number;
  /** Tracks connections and handles framing errors of the peer port's server; call it once. */
  attachPeerServer(server: Server): void;
  /**
   * Handles a forwarded request on the peer port. Refuses any request whose sender may not use the
   * port. Returns false for a request that was neither handled nor refused.
   */
  handleForwarded(request: IncomingMessage, response: ServerResponse): boolean;
  /** Refuses new forwarded work from now on; callers are still served. */
  setLeaving(): void;
  state(): ProxyState;
  /** Refuses new requests, waits for those in flight up to the timeout and releases all resources. */
  close(options?: CloseProxyOptions): Promise<void>;
}

const MAX_HEADER_BYTES = 16 * 1024;

/**
 * Longer than the idle timeout of connections between daemons (20 s for RPC) plus the 2 s that undici
 * subtracts from the server's keep-alive hint, so that the client closes first.
 */
const PEER_KEEP_ALIVE_MS = 25_000;

/** Only a broken sender needs longer: a daemon forwards a request only after receiving all of it from the caller. */
const PEER_REQUEST_TIMEOUT_MS = 10_000;

/** How often overdue requests are looked for within one request timeout. */
const CHECKS_PER_TIMEOUT = 20;

/** Probe interval for a silent upstream, short so that it gets work soon after it answers again. */
const SILENT_HEALTH_INTERVAL_MS = 250;

/**
 * Time without a new connection or request before the listener closes. Closing
 * it resets the connections in its backlog, and closing idle connections loses
 * requests in transit. A loaded host delays the reading of such connections and
 * requests by some tens of milliseconds.
 */
const CLOSE_QUIET_MS = 100;

/**
 * Time after which the listener closes even if connections or requests keep arriving (see `CLOSE_QUIET_MS`).
 * New requests are refused meanwhile. It is a small part of the default drain timeout of 30 s.
 */
const CLOSE_QUIET_TIMEOUT_MS = 1_000;

const NO_VMS: ReadonlySet<string> = new Set();

/** Options of `node:http` for the server of the peer port. */
export const PEER_SERVER_OPTIONS: ServerOptions = {
  maxHeaderSize: PEER_MAX_HEADER_BYTES,
  keepAliveTimeout: PEER_KEEP_ALIVE_MS,
  requestTimeout: PEER_REQUEST_TIMEOUT_MS,
  headersTimeout: PEER_REQUEST_TIMEOUT_MS,
};

/** Starts the proxy of one daemon. */
export async function startProxy(options: StartProxyOptions): Promise<Proxy> {
  const division = options.division ?? "owner";
  const connections = options.connections ?? 110;
  const upstream = `${options.upstream.address}:${options.upstream.port}`;
  const admission = options.admission ??
    createDefaultAdmission(options.slots ?? 10);
  const upstreamWatch = options.upstreamWatch ?? createDefaultUpstreamWatch();
  const callers = new RequestCounters();
  const forwarded = new RequestCounters();
  const connection: ConnectionOptions = {
    localAddress: options.address,
    maxIdleMs: options.idleConnectionMs ?? 1_000,
  };
  const transport = options.transport ?? createPlainTransport();
  const peerPools = new ConnectionPools({ ...connection, transport });
  const upstreamPools = new ConnectionPools({
    ...connection,
    // One connection is left for health probes.
    connections: Math.max(1, connections - 1),
  });
  let leaving = false;
  let closing = false;
  let health: UpstreamHealth | undefined;
  let peerTracker: ConnectionTracker | undefined;

  const identity = createIdentityCheck(options.identity ?? { kind: "trusted" });
  const isLeaving = () =>
    leaving || health?.state === "draining" || options.isLeaving?.() === true;
  const shared = {
    defaultDeadlineMs: options.defaultDeadlineMs ?? 5_000,
    maxBodyBytes: options.maxBodyBytes ?? 1_048_576,
    bufferBytes: options.bufferBytes ?? 262_144,
    routingTable: options.routingTable,
    whenFresh: options.whenFresh ?? (() => undefined),
    isClosing: () => closing,
    timing: createTimingReporter(),
  };
  const handleCaller = createCallerHandler({
    ...shared,
    division,
    zone: options.zone,
    maxDepth: options.maxDepth ?? 15,
    identity,
    leavingVms: options.leavingVms ?? (() => NO_VMS),
    nextRequestId: createRequestIds(),
    pools: division === "owner" ? peerPools : upstreamPools,
    balancing: options.balancing ?? createDefaultBalancing(),
    retries: options.retries ?? createDefaultRetries(),
    counters: callers,
  });
  const handleForwarded = createForwardedHandler({
    ...shared,
    service: options.service,
    upstream,
    isLeaving,
    load: () => health?.load,
    pools: upstreamPools,
    admission,
    upstreamWatch,
    counters: forwarded,
  });
  const trustBySocket = new WeakMap<Socket, boolean>();

  function isTrusted(socket: Socket): boolean {
    const known = trustBySocket.get(socket);
    if (known !== undefined) return known;
    const trusted = identity.isTrustedAddress(socket.remoteAddress ?? "");
    trustBySocket.set(socket, trusted);
    return trusted;
  }

  const requestTimeoutMs = options.requestTimeoutMs ?? 10_000;
  const server = createServer({
    maxHeaderSize: MAX_HEADER_BYTES,
    requestTimeout: requestTimeoutMs,
    headersTimeout: requestTimeoutMs,
    connectionsCheckingInterval: Math.ceil(
      requestTimeoutMs / CHECKS_PER_TIMEOUT,
    ),
    // The request handler refuses requests without Host, so that they get a body with the reason.
    requireHostHeader: false,
  }, (request, response) => {
    const active = tracker.track(request, response);
    void handleCaller(active, isTrusted(request.socket));
  });
  server.maxHeadersCount = ALL_FIELDS;
  const tracker = trackConnections(server);
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(
      options.callerPort,
      options.callerAddress ?? options.address,
      resolve,
    );
  });
  const healthIntervalMs = options.healthIntervalMs ?? 1_000;
  const healthWatch = watchUpstreamHealth({
    ...options.upstream,
    connection,
    intervalMs: () =>
      upstreamWatch.isSilent
        ? Math.min(healthIntervalMs, SILENT_HEALTH_INTERVAL_MS)
        : healthIntervalMs,
    timeoutMs: options.healthTimeoutMs ?? 500,
    onProbeStarted: () => upstreamWatch.probeStarted(),
    onProbeEnded: (answered) => upstreamWatch.probeEnded(answered),
    onHealth(next) {
      const wasDraining = health?.state === "draining";
      health = next;
      const isDraining = next.state === "draining";
      if (isDraining !== wasDraining) options.onUpstreamDraining?.(isDraining);
    },
  });

  upstreamWatch.onProbeRequested(() => healthWatch.probeNow());

  return {
    callerPort: (server.address() as AddressInfo).port,
    attachPeerServer(peerServer) {
      peerServer.maxHeadersCount = ALL_FIELDS;
      peerTracker = trackConnections(peerServer);
    },
    handleForwarded(request, response) {
      if (!transport.isAuthorized(request.socket)) {
        response.shouldKeepAlive = false;
        const reason = "connect_failed";
        refuse({ request, response, outcome: "not_run", reason });
        return true;
      }
      if (!request.url!.startsWith(`${FORWARD_PREFIX}/`)) return false;
      if (peerTracker === undefined) {
        throw new Error(
          "attachPeerServer must be called before a forwarded request is handled",
        );
      }
      void handleForwarded(peerTracker.track(request, response));
      return true;
    },
    setLeaving() {
      leaving = true;
      admission.setLeaving();
    },
    state() {
      return {
        division,
        leaving: isLeaving(),
        upstream: health,
        upstreamHealthFailures: healthWatch.failures,
        upstreamWatch: upstreamWatch.state(),
        callers: callers.counts(),
        forwarded: forwarded.counts(),
        addedTime: callers.addedTime(),
        forwardedAddedTime: forwarded.addedTime(),
      };
    },
    async close({ drainTimeoutMs = 30_000 } = {}) {
      leaving = true;
      closing = true;
      admission.setLeaving();
      await tracker.whenQuiet({
        quietMs: CLOSE_QUIET_MS,
        timeoutMs: Math.min(CLOSE_QUIET_TIMEOUT_MS, drainTimeoutMs),
      });
      const closed = new Promise<void>((resolve) =>
        server.close(() => resolve())
      );
      tracker.closeUnused();
      await Promise.all([
        tracker.whenIdle(drainTimeoutMs),
        peerTracker?.whenIdle(drainTimeoutMs),
      ]);
      server.closeAllConnections();
      peerTracker?.closeActive();
      await closed;
      upstreamWatch.close();
      await Promise.all([
        healthWatch.close(),
        peerPools.close(),
        upstreamPools.close(),
        admission.close(),
      ]);
    },
  };
}
