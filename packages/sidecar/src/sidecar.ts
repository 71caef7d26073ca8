import { randomBytes } from "node:crypto";
import { createServer } from "node:http";
import type { Socket } from "node:net";
import {
  Catalog,
  type CatalogEvent,
  type CatalogSource,
  CatalogSync,
} from "@tanagercove/catalog";
import {
  BodyGrants,
  ChannelClient,
  type ChannelProblem,
  type ChannelServer,
  startChannelServer,
} from "@tanagercove/channel";
import type { Logger } from "@tanagercove/logs";
import {
  heapLimitBytes,
  MemoryBudget,
  memoryLimits,
} from "@tanagercove/memory";
import { Metrics } from "@tanagercove/metrics";
import { UpstreamReports } from "@tanagercove/placement";
import { ServiceBudgets } from "@tanagercove/retries";
import { TargetShares } from "@tanagercove/routing";
import { EvacuatedZones } from "./evacuated_zones.ts";
import type { Endpoint, ServiceDefinition } from "@tanagercove/types";
import { watchEventLoop } from "./event_loop_watch.ts";
import { createFailureLog } from "./failure_log.ts";
import { coldStartGauges, ColdStarts } from "./cold_starts.ts";
import {
  fetchUpstreamHealth,
  type UpstreamHealth,
} from "./fetch_upstream_health.ts";
import { createCallerHandler } from "./caller_handler.ts";
import {
  createChannelForwarder,
  createChannelHandler,
} from "./channel_peers.ts";
import { closeInStages } from "./close_in_stages.ts";
import { ConnectionAgents } from "./connection_agent.ts";
import {
  higherRankedReaders,
  parseEndpoint,
  peerAddresses,
  zoneAddresses,
} from "./daemon_addresses.ts";
import {
  decideStopPhase,
  mayTakeWhileStopping,
  refuseForwardedAfterMs,
  refuseNewAfterMs,
  type StopPhase,
  whenDrained,
  whenSent,
} from "./drain.ts";
import type { OwnerState } from "./forwarding.ts";
import { type HttpListener, listenHttp } from "./http_listener.ts";
import { IncomingBodies } from "./incoming_bodies.ts";
import { LeavingUpstreams } from "./leaving_upstreams.ts";
import { MetDaemons } from "./met_daemons.ts";
import { createObserver } from "./observer.ts";
import { startOperatorsListener } from "./operators_listener.ts";
import { createOwner, type OwnedRequest } from "./owner.ts";
import { OwnUpstream, type OwnUpstreamChange } from "./own_upstream.ts";
import { createPeerClient } from "./peer_client.ts";
import { type PeerServer, startPeerServer } from "./peer_server.ts";
import { RetryWhile } from "./retry_while.ts";
import { decideRoomPolicy } from "./room_policy.ts";
import { createShareKeys } from "./share_keys.ts";
import { createRequestServer } from "./serve_request.ts";
import { SendQueue } from "./send_queue.ts";
import type { RequestHeaderNames, SidecarSettings } from "./settings.ts";
import { UnreadableOperatorValues } from "./unreadable_operator_values.ts";
import { UpstreamBodies, upstreamBodyBytes } from "./upstream_bodies.ts";
import { UpstreamIdentity } from "./upstream_identity.ts";
import { ZoneLinks } from "./zone_links.ts";

/** Idle times after which connections to daemons and to the upstream are closed, before the other end may drop them. */
const PEER_IDLE_MS = 8_000;
const UPSTREAM_IDLE_MS = 4_000;

/** Limit on callers' headers; the limit in the configuration is not applied. */
const CALLER_MAX_HEADER_BYTES = 64 * 1024;

/** Timeouts of callers' connections until there is a configuration. */
const DEFAULT_HEADER_TIMEOUT_MS = 10_000;
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;

/** Added to the idle timeout of callers' connections, so that a request sent just before the timeout still arrives. */
const IDLE_MARGIN_MS = 1_000;

/** How often connections are checked for slow senders. */
const CONNECTIONS_CHECK_MS = 1_000;

/**
 * Limit on forwarded bodies. The configured limit is not applied to them, since other daemons may already apply a
 * higher limit of a newer configuration.
 */
const PEER_MAX_BODY_BYTES = 256 * 1024 * 1024;

/** Shortest time after which the upstream is asked for its id once more, if several entries have its address. */
const IDENTIFY_DELAY_MS = 1_000;

/** Limit on that time, which doubles. */
const MAX_IDENTIFY_DELAY_MS = 16_000;

/** Options of `startSidecar`. */
export interface StartSidecarOptions {
  readonly settings: SidecarSettings;
  readonly names: RequestHeaderNames;
  readonly source: CatalogSource;
  readonly log: Logger;
}

/** A running sidecar. */
export interface Sidecar {
  readonly catalog: Catalog;
  readonly isReady: boolean;
  /** Applies the settings that can change without a restart. */
  reload(settings: SidecarSettings): void;
  /** Stops the sidecar; resolves after the drain (`whenDrained`) and the close of all connections. */
  close(): Promise<void>;
}

/** Starts the sidecar of one VM. It serves the VM's callers and is the owner daemon of the VM's upstream. */
export async function startSidecar(
  { settings, names, source, log }: StartSidecarOptions,
): Promise<Sidecar> {
  const metrics = new Metrics();
  const catalog = new Catalog({
    onEvent(event) {
      observer.onCatalog(event);
      onCatalogEvent(event);
    },
  });
  const observer = createObserver({
    log,
    metrics,
    catalogRevision: () => catalog.revision,
    routeCount: () => catalog.index?.configuration.routes.length ?? 0,
  });
  const failures = createFailureLog({ log, metrics });
  let seeds = settings.seeds;
  const peerAgents = new ConnectionAgents({ maxIdleMs: PEER_IDLE_MS });
  const upstreamAgents = new ConnectionAgents({
    maxIdleMs: UPSTREAM_IDLE_MS,
    ...(settings.coldStartBounds !== undefined && {
      onIdleClose: () => coldStarts?.recordIdleClose(),
    }),
  });
  const reports = new UpstreamReports({
    onEjected: (ejection) => observer.onEjected(ejection),
  });
  const memory = new MemoryBudget(memoryLimits({
    memoryLimitBytes: settings.memoryLimitBytes,
    heapLimitBytes: heapLimitBytes(),
  }));
  const answerMemory = memory.answers;
  const { maxAnswerBytes } = memory.limits.answers;
  const peers = createPeerClient({
    onTransfer: (transfer) => observer.onTransfer(transfer),
    agents: peerAgents,
    localAddress: settings.address,
    maxAnswerBytes,
    answerMemory,
    onUnreadable: failures.onUnreadableAnswer,
  });
  const onChannelProblem = (problem: ChannelProblem, peer: string) =>
    failures.onChannelClosed({ peer, problem });
  const channel = new ChannelClient({
    localAddress: settings.address,
    maxBodyBytes: maxAnswerBytes,
    memory: answerMemory,
    onProblem: ({ destination: { address, port }, problem }) =>
      onChannelProblem(problem, `${address}:${port}`),
  });
  const forward = settings.channelPort === undefined
    ? peers.forward
    : createChannelForwarder({
      client: channel,
      port: settings.channelPort,
      http: peers,
      onUnreadable: failures.onUnreadableAnswer,
    });
  const identity = new UpstreamIdentity({
    service: settings.service,
    fetchId: async () => (await checkOwnUpstream())?.id,
    isUsable: isOwnServiceId,
    idInPlaceOf: (id) => ownUpstream.idInPlaceOf(id),
    onLearnt: (learnt) => observer.onIdentityLearnt(learnt),
  });
  const eventLoopWatch = watchEventLoop({
    onMeasured: (lag) => observer.onEventLoopLag(lag),
  });
  const sendQueue = new SendQueue({ isBehind: eventLoopWatch.isBehind });
  const leaving = new LeavingUpstreams(catalog);
  const shareKeys = createShareKeys({
    catalog,
    address: settings.address,
    zone: settings.zone,
  });
  const evacuated = new EvacuatedZones({ catalog });
  const metDaemons = new MetDaemons();
  const upstreamBodies = new UpstreamBodies({
    maxBytes: upstreamBodyBytes(settings.memoryLimitBytes),
  });
  const coldStarts = settings.coldStartBounds && new ColdStarts({
    bounds: settings.coldStartBounds,
    definition: ownDefinition,
    hasConfiguration: () => catalog.index !== undefined,
    idleConnections: () => upstreamAgents.idleConnections(),
    checkHealth: checkOwnUpstream,
    onEvent: (event) => observer.onColdStart(event),
  });
  const operatorValues = new UnreadableOperatorValues();
  const owner = createOwner({
    upstream: settings.upstream,
    localAddress: settings.address,
    agents: upstreamAgents,
    names,
    maxAnswerBytes,
    answerMemory,
    identity,
    bodies: upstreamBodies,
    sendQueue,
    coldStarts,
    onUpstreamLeaving,
    onLimit: (limitPerSecond) => observer.onLimit(limitPerSecond),
    roomPolicy: () => decideRoomPolicy(catalog.index?.configuration),
    shareKeysOf: (request) => shareKeys.keysOf(request),
    onCallsRefused: (service) => observer.onCallsRefused(service),
    learnsCapacity: settings.learnsCapacity ?? true,
    onCapacityInForce: registerCapacityGauges,
    onCapacityChanged: (change) =>
      observer.onCapacityChanged(change, owner.capacityStatus()!),
  });
  const grants = new BodyGrants({ linkMbps: settings.linkMbps });
  const incomingBodies = new IncomingBodies({ grants, owner });
  const peerPort = settings.peer.port;
  const links = new ZoneLinks({
    ownAddress: settings.address,
    ownLinkMbps: settings.linkMbps,
    zoneAddresses: () => zoneAddresses(catalog, settings),
    exchange: (address) =>
      peers.exchangeLinks({ address, port: peerPort }, settings.linkMbps),
  });
  const sync = new CatalogSync({
    catalog,
    source,
    ownPeer: `${settings.address}:${peerPort}`,
    needsEvacuations: settings.evacuationMs !== undefined,
    configurationApplyMs: settings.configurationApplyMs,
    fetchUpstreams: (peer, held) =>
      peers.fetchUpstreams(parseEndpoint(peer), held),
    fetchConfiguration: (peer, heldVersion) =>
      peers.fetchConfiguration(parseEndpoint(peer), heldVersion),
    followPeer: (peer, request) => peers.follow(parseEndpoint(peer), request),
    peers: () => [
      ...peerAddresses(catalog, { ...settings, seeds }),
      ...metDaemons.addresses.map((address) => `${address}:${peerPort}`),
    ],
    higherRankedReaders: () =>
      higherRankedReaders({
        ownAddress: settings.address,
        zoneAddresses: zoneAddresses(catalog, settings),
        linkMbpsOf: (address) => links.linkMbpsOf(address),
      }).map((address) => `${address}:${peerPort}`),
    onEvent: (event) => observer.onSync(event),
    onUnexpectedError: (error) =>
      failures.onOperationFailed("catalog_sync", error),
    onTransfer: (transfer) => observer.onTransfer(transfer),
  });
  let stoppingSinceMs: number | undefined;
  let isDrained = false;
  const ownUpstream = new OwnUpstream(settings);
  const identifyOwnUpstream = new RetryWhile({
    isNeeded: () =>
      ownUpstream.isAmbiguous && ownDefinition() !== undefined && !isStopping(),
    attempt: () => void checkOwnUpstream(),
    minDelayMs: IDENTIFY_DELAY_MS,
    maxDelayMs: MAX_IDENTIFY_DELAY_MS,
  });
  let isUpstreamLeaving = false;
  let toldMaxBodyBytes: number | undefined;

  const ownerState = (upstreamId: string): OwnerState => ({
    load: owner.load(),
    isUpstreamLeaving: isLeaving(upstreamId),
    isEvacuated: catalog.isEvacuated(settings.zone),
    version: catalog.version,
    revision: catalog.changeRevision,
  });
  /** Without the evacuations, this daemon could send requests to a zone that is evacuated, its own included. */
  const knowsEvacuations = () =>
    settings.evacuationMs === undefined || catalog.knowsEvacuations;
  const isStarting = () =>
    catalog.index === undefined || !sync.isFloorKnown || !knowsEvacuations();
  const isStopping = () => stoppingSinceMs !== undefined;
  const stopState = () => ({
    stoppingForMs: stoppingSinceMs === undefined
      ? 0
      : performance.now() - stoppingSinceMs,
    drainTimeoutMs: settings.drainTimeoutMs,
    isDrained,
  });
  const stopPhase = (): StopPhase => decideStopPhase(stopState());
  const handlePeerState = (peer: Endpoint, state: OwnerState) =>
    void sync.catchUpIfBehind(`${peer.address}:${peer.port}`, state)
      .catch((error) => failures.onOperationFailed("catch_up", error));

  function onCatalogEvent(event: CatalogEvent): void {
    operatorValues.record(event);
    if (event.kind === "configuration_taken") {
      const policy = decideRoomPolicy(catalog.index!.configuration);
      owner.setOrder(policy === "by_knowledge" ? "by_share" : "by_rank");
      coldStarts?.start();
      identifyOwnUpstream.check();
      return applyLimits();
    }
    if (event.kind === "evacuation_taken" && event.zone === settings.zone) {
      coldStarts?.recordEvacuation();
    }
    if (event.kind === "evacuation_taken") applyLeaving();
    shareKeys.forgetZones();
    if (event.kind === "upstream_taken") {
      const { entry } = event;
      links.refresh();
      applyOwnChange(ownUpstream.take(entry));
      if (ownUpstream.isOther(entry)) {
        observer.onAddressShared(entry, ownUpstream.entry?.id);
      }
      identifyOwnUpstream.check();
    }
    if (event.kind === "upstream_removed") {
      applyOwnChange(ownUpstream.remove(event.id));
      identifyOwnUpstream.check();
      reports.retain((id) => catalog.upstreams.has(id));
      leaving.forgetRemoved();
    }
  }

  function applyOwnChange(change: OwnUpstreamChange | undefined): void {
    if (change === undefined) return;
    if (change.kind === "entry_changed") {
      coldStarts?.recordEntry(change.entry);
      owner.setSlots(change.entry.slots);
    }
    isUpstreamLeaving = change.kind === "left" ||
      change.entry.state === "draining" || leaving.has(change.entry);
    applyLeaving();
  }

  function isLeaving(upstreamId: string): boolean {
    const entry = catalog.upstreams.get(upstreamId)?.entry;
    return entry !== undefined && leaving.has(entry);
  }

  /** Called when the upstream of this VM says that it leaves; its entry may say so later. */
  function onUpstreamLeaving(upstreamId: string): void {
    const entry = catalog.upstreams.get(upstreamId)?.entry;
    if (entry === undefined || !leaving.add(entry)) return;
    observer.onUpstreamLeaving(upstreamId);
    if (upstreamId !== ownUpstream.entry?.id) return;
    isUpstreamLeaving = true;
    applyLeaving();
  }

  /**
   * Tells the owner whether to refuse waiting and new requests. They are refused while the upstream is leaving or its
   * zone is evacuated. In a stop, they are refused from the time when callers' new requests are refused, since they would run too late.
   */
  function applyLeaving(): void {
    owner.setLeaving(
      isUpstreamLeaving || catalog.isEvacuated(settings.zone) ||
        !stopPhase().acceptsNew,
    );
  }

  function ownDefinition(): ServiceDefinition | undefined {
    return catalog.index?.configuration.services
      .find(({ name }) => name === settings.service);
  }

  let healthInFlight: Promise<UpstreamHealth | undefined> | undefined;

  /** Makes a health check of the upstream, or takes part in the one in flight; undefined without an answer. */
  function checkOwnUpstream(): Promise<UpstreamHealth | undefined> {
    healthInFlight ??= fetchOwnHealth().finally(() =>
      healthInFlight = undefined
    );
    return healthInFlight;
  }

  async function fetchOwnHealth(): Promise<UpstreamHealth | undefined> {
    const definition = ownDefinition();
    if (definition === undefined) return undefined;
    const health = await fetchUpstreamHealth({
      agent: coldStarts === undefined
        ? upstreamAgents.forClass("idempotent")
        : upstreamAgents.forSingleUse,
      upstream: settings.upstream,
      localAddress: settings.address,
      healthPath: definition.healthPath,
      idHeader: names.answeringUpstreamId,
      coldHeader: names.coldMs,
    }).catch((error) => {
      failures.onOperationFailed("fetch_upstream_id", error);
      return undefined;
    });
    // The address may have been given to an upstream of another service.
    const isOwn = health?.id === undefined || isOwnServiceId(health.id);
    if (health !== undefined && isOwn) coldStarts?.recordHealth(health);
    if (health?.id !== undefined) {
      applyOwnChange(ownUpstream.recordReportedId(health.id));
      identifyOwnUpstream.check();
    }
    return health;
  }

  /**
   * Whether requests may be sent to an id that this VM's upstream reports: the catalog lists the id as ready under this
   * service, or not at all. False while stopping, as the address may then be another upstream's.
   */
  function isOwnServiceId(id: string): boolean {
    if (isStopping() || ownUpstream.hasLeft(id)) return false;
    const entry = catalog.upstreams.get(id)?.entry;
    return entry === undefined ||
      entry.service === settings.service && entry.state === "ready";
  }

  function accepts({ ticket, callerAddress }: OwnedRequest): boolean {
    if (!stopPhase().acceptsForwarded) return false;
    if (!knowsEvacuations()) {
      if (callerAddress !== undefined) metDaemons.add(callerAddress);
      return false;
    }
    const entry = catalog.upstreams.get(ticket.upstreamId)?.entry;
    return entry?.state !== "draining" && !isLeaving(ticket.upstreamId);
  }

  const budgets = new ServiceBudgets({
    ratio: settings.retryBudgetRatio,
    slack: settings.retryBudgetSlack,
    windowMs: settings.retryBudgetWindowMs,
    daemons: () => catalog.upstreams.size,
  });
  const server = createRequestServer({
    zone: settings.zone,
    address: settings.address,
    service: settings.service,
    peerPort: settings.peer.port,
    catalog,
    owner,
    ownerState,
    leaving,
    evacuated,
    peers: { forward },
    linkMbpsOf: (address) => links.linkMbpsOf(address),
    reports,
    budgets,
    sendQueue,
    isStopping,
    isConfigurationCurrent: () => sync.isCurrent,
    onRepeatWithheld: () => metrics.counter("repeats_withheld").add(),
    onPeerState: handlePeerState,
  });
  const callers = createCallerHandler({
    names,
    catalog,
    owner,
    server,
    memory,
    shares: new TargetShares(),
    budgets,
    isStarting,
    isStopping,
    mayTake: (request) => mayTakeWhileStopping({ ...stopState(), ...request }),
    onResult: (result) => observer.onResult(result),
    onHandlerFailed: (error) => failures.onOperationFailed("request", error),
  });
  const callerServer = createServer({
    maxHeaderSize: CALLER_MAX_HEADER_BYTES,
    keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS + IDLE_MARGIN_MS,
    headersTimeout: DEFAULT_HEADER_TIMEOUT_MS,
    requestTimeout: 0,
    connectionsCheckingInterval: CONNECTIONS_CHECK_MS,
  }, (request, response) => {
    callers.handle(request, response);
  });
  // Without this, Node.js asks for a body before it is known whether there is room for it.
  callerServer.on("checkContinue", callers.handle);
  callerServer.on("connection", (socket) => {
    // Node's server calls this after an answer that closes its connection.
    socket.destroySoon = () => closeInStages(socket);
  });
  callerServer.on("clientError", callers.handleConnectionError);
  callerServer.on(
    "connect",
    (request, socket) => callers.handleConnect(request, socket as Socket),
  );

  function applyLimits(): void {
    const limits = catalog.index!.configuration.limits;
    checkMaxBodyBytes(limits.maxBodyBytes);
    callerServer.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS;
    callerServer.headersTimeout = limits.headerTimeoutMs;
  }

  function checkMaxBodyBytes(maxBodyBytes: number): void {
    const roomBytes = memory.limits.bodyBytesOfUse;
    if (maxBodyBytes > roomBytes && maxBodyBytes !== toldMaxBodyBytes) {
      observer.onBodiesExceedMemory(maxBodyBytes, roomBytes);
    }
    toldMaxBodyBytes = maxBodyBytes;
  }

  const isReady = () => !isStopping() && !isStarting();
  const listeners: HttpListener[] = [];
  let peerServer: PeerServer | undefined;
  let channelServer: ChannelServer | undefined;
  await openListeners().catch(async (error) => {
    eventLoopWatch.close();
    await closeListeners();
    channel.close();
    await source.close();
    throw error;
  });

  async function openListeners(): Promise<void> {
    peerServer = await startPeerServer({
      address: settings.peer.address,
      ports: settings.control === undefined
        ? [settings.peer.port]
        : [settings.peer.port, settings.control.port],
      names,
      owner,
      memory,
      catalog,
      feedId: randomBytes(6).toString("hex"),
      isInContact: () =>
        catalog.revision > 0 && sync.platformLostAtMs === undefined &&
        !isStopping(),
      readers: () => sync.readers,
      confirmedAgeMs: () => sync.confirmedAgeMs,
      confirmation: () => sync.confirmation,
      state: ownerState,
      accepts,
      isLeaving: () => !stopPhase().acceptsForwarded,
      links,
      maxBodyBytes: () => PEER_MAX_BODY_BYTES,
      onForwarded: (result) => observer.onForwarded(result),
      onHandlerFailed: (error) =>
        failures.onOperationFailed("forwarded_request", error),
    });
    listeners.push(peerServer);
    if (settings.channelPort !== undefined) {
      channelServer = await startChannelServer({
        address: settings.peer.address,
        port: settings.channelPort,
        maxBodyBytes: PEER_MAX_BODY_BYTES,
        memory: {
          receive: (onEnded) => memory.receiveBody("forwarded_bodies", onEnded),
        },
        grants,
        holdAnswer: (sizeBytes) => answerMemory.hold(sizeBytes),
        onProblem: ({ peer, problem }) => onChannelProblem(problem, peer),
        ...createChannelHandler({
          owner,
          memory,
          accepts,
          catalog,
          incomingBodies,
          state: ownerState,
          onForwarded: (result) => observer.onForwarded(result),
          onHandlerFailed: (error) =>
            failures.onOperationFailed("forwarded_request", error),
        }),
      });
    }
    listeners.push(
      await listenHttp(callerServer, {
        address: settings.caller.address,
        ports: [settings.caller.port],
      }),
    );
    listeners.push(
      await listenHttp(
        createServer((_request, response) => {
          response.writeHead(isReady() ? 200 : 503).end();
        }),
        {
          address: settings.readiness.address,
          ports: [settings.readiness.port],
        },
      ),
    );
    listeners.push(
      await startOperatorsListener({
        address: settings.address,
        port: settings.metricsPort,
        metrics,
        dump,
      }),
    );
  }

  async function closeListeners(): Promise<void> {
    await Promise.all([
      channelServer?.close(),
      ...listeners.map((listener) => listener.close()),
    ]);
  }

  sync.start();
  links.start();
  registerGauges();

  function registerGauges(): void {
    const gauges: Readonly<Record<string, () => number>> = {
      configuration_version: () => catalog.version,
      catalog_revision: () => catalog.revision,
      platform_lost_ms: () =>
        sync.platformLostAtMs === undefined
          ? 0
          : performance.now() - sync.platformLostAtMs,
      configuration_age_ms: () => configurationAgeMs() ?? -1,
      slots_running: () => owner.running,
      answer_bytes_buffered: () => answerMemory.usedBytes,
      caller_head_bytes: () => memory.heads.usedBytes("caller_heads"),
      caller_heads_refused: () => memory.heads.refusals("caller_heads"),
      forwarded_head_bytes: () => memory.heads.usedBytes("forwarded_heads"),
      forwarded_heads_refused: () => memory.heads.refusals("forwarded_heads"),
      caller_body_bytes: () => memory.usedBytes("caller_bodies"),
      caller_bodies_refused: () => memory.refusals("caller_bodies"),
      forwarded_body_bytes: () => memory.usedBytes("forwarded_bodies"),
      forwarded_bodies_refused: () => memory.refusals("forwarded_bodies"),
      upstream_body_bytes: () => upstreamBodies.usedBytes,
      upstream_bodies_refused: () => upstreamBodies.refusals,
      bodies_waiting_for_grant: () => grants.waitingBodies,
      bodies_granted: () => grants.granted,
      body_bytes_under_way: () => grants.underWayBytes,
      bodies_refused_unsent: () => incomingBodies.refusals,
      requests_before_send: () => sendQueue.length,
      slots_waiting: () => owner.waiting,
      entries_at_upstream_address: () => ownUpstream.entriesAtAddress,
      zones_evacuated: () => catalog.evacuatedZones.length,
      operator_values_unreadable: () => operatorValues.list().length,
      callers_in_flight: () => callers.inFlight,
      connections_opened_to_upstream: () => upstreamAgents.opened,
      connections_opened_to_daemons: () => peerAgents.opened + channel.opened,
      reader_chain_length: () => sync.readers.length,
      ready: () => isReady() ? 1 : 0,
      ...coldStarts && coldStartGauges(coldStarts),
    };
    for (const [name, read] of Object.entries(gauges)) {
      metrics.gauge(name, read);
    }
  }

  /** Time since the platform last confirmed the version in force; undefined before the first time. */
  function configurationAgeMs(): number | undefined {
    const ageMs = sync.confirmedAgeMs;
    return Number.isFinite(ageMs) ? Math.round(ageMs) : undefined;
  }

  /** Called when the upstream first tells how long work takes on its host. */
  function registerCapacityGauges(): void {
    const status = () => owner.capacityStatus()!;
    metrics.gauge(
      "upstream_concurrency_limit",
      () => status().concurrencyLimit,
    );
    metrics.gauge("upstream_work_rate", () => status().workRate);
    metrics.gauge("upstream_told_trust", () => status().toldTrust);
    metrics.gauge(
      "upstream_loads_unreadable",
      () => status().unreadableFields,
    );
  }

  function dump(): unknown {
    return {
      vm_id: settings.vmId,
      zone: settings.zone,
      service: settings.service,
      ready: isReady(),
      stopping: isStopping(),
      configuration: catalog.index?.configuration,
      configuration_age_ms: configurationAgeMs(),
      catalog_revision: catalog.revision,
      readers: sync.readers,
      evacuated_zones: catalog.evacuatedZones,
      unreadable_operator_values: operatorValues.list(),
      upstreams: [...catalog.upstreams.values()].map((held) => ({
        ...held,
        ejected: reports.isEjected(held.entry.id),
        failure_share: reports.failureShare(held.entry.id),
        in_flight: reports.inFlight(held.entry.id),
      })),
      load: owner.load(),
      learned_capacity: owner.capacityStatus(),
      cold_starts: coldStarts?.state(),
    };
  }

  async function close(): Promise<void> {
    stoppingSinceMs = performance.now();
    const { drainTimeoutMs } = settings;
    const refuseNewTimer = setTimeout(
      applyLeaving,
      refuseNewAfterMs(drainTimeoutMs),
    );
    const announceTimer = setTimeout(
      () => channelServer?.announceLeaving(),
      refuseForwardedAfterMs(drainTimeoutMs),
    );
    await whenDrained({
      drainTimeoutMs,
      isBusy: () =>
        callers.inFlight > 0 || owner.running > 0 ||
        peerServer!.inFlight > 0 || (channelServer?.inFlight ?? 0) > 0,
    });
    clearTimeout(refuseNewTimer);
    clearTimeout(announceTimer);
    isDrained = true;
    owner.close();
    coldStarts?.close();
    identifyOwnUpstream.close();
    callers.cancelAll();
    await whenSent({
      timeLeftMs: stoppingSinceMs + drainTimeoutMs - performance.now(),
      isSending: () => callers.isSending,
    });
    eventLoopWatch.close();
    await closeListeners();
    // The sync waits for its requests in flight; closing the connections ends those that get no answer.
    const syncClosed = Promise.all([sync.close(), links.close()]);
    channel.close();
    peerAgents.close();
    upstreamAgents.close();
    await source.close();
    await syncClosed;
  }

  return {
    catalog,
    get isReady() {
      return isReady();
    },
    reload(next) {
      seeds = next.seeds;
    },
    close,
  };
}
