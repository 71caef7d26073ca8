import type { Result } from "true-myth";
import {
  Distribution,
  type DistributionTuning,
  type SnapshotStores,
} from "@tanagercove/distribution";
import type { RpcError } from "@tanagercove/errors";
import type { PeerTransport } from "@tanagercove/keys";
import {
  parseVms,
  plansWithoutAllowance,
  validateLists,
} from "@tanagercove/lists";
import { logEvent, type Logger } from "@tanagercove/logs";
import { Membership } from "@tanagercove/membership";
import { type ByteTotals, SocketByteCounter } from "@tanagercove/metrics";
import { createHttpPlatform } from "@tanagercove/platform";
import { computeRoutingTable, type RoutingTable } from "@tanagercove/routing";
import {
  createRpcRequestHandler,
  RpcClient,
  type RpcMethod,
  type RpcRequestHandler,
} from "@tanagercove/rpc";
import type { Settings } from "@tanagercove/settings";
import type { ListProblem, Lists, Vm } from "@tanagercove/types";
import { SnapshotStore } from "@tanagercove/versions";
import { withWireNames } from "./wire_names.ts";

/** Options of `createConfiguration`. */
export interface CreateConfigurationOptions {
  readonly settings: Settings;
  readonly log: Logger;
  /** Connections between daemons; without TLS by default. */
  readonly transport?: PeerTransport;
  /** Returns this daemon's response to `status.summary`. */
  readonly summary: () => unknown;
  /** Called with each new VM list. */
  readonly onVms?: (vms: readonly Vm[]) => void;
}

/** The configuration side of a daemon: versions, other daemons and the platform. */
export interface Configuration {
  readonly distribution: Distribution;
  readonly membership: Membership;
  readonly stores: SnapshotStores;
  /** Handles the requests for `/rpc` on the peer port. */
  readonly handleRpc: RpcRequestHandler;
  /** The table in force, or undefined until `distribution.isReady`. */
  routingTable(): RoutingTable | undefined;
  /** Fetches the summary of the daemon on a VM. */
  fetchSummary(vm: Vm): Promise<Result<unknown, RpcError>>;
  /** Bytes of the calls to the platform and between daemons, without forwarded requests. */
  controlBytes(): ByteTotals;
  /** State of distribution, versions and membership for operators; plain JSON. */
  dump(): Readonly<Record<string, unknown>>;
  /** Joins the fleet and keeps the versions up to date. The peer port must already be listening. */
  start(): void;
  close(): Promise<void>;
}

/** Assembles stores, routing table, peers and platform of one daemon. */
export function createConfiguration(
  options: CreateConfigurationOptions,
): Configuration {
  const { settings, log } = options;
  const { daemon, peers } = settings;
  const bytes = new SocketByteCounter();
  const membership = new Membership({
    vmId: daemon.vmId,
    zone: daemon.zone,
    seeds: peers.seeds,
    readersPerZone: settings.distribution.readersPerZone,
  });
  const { stores, routingTable } = createStores({
    log,
    onVms: (vms) => {
      membership.setVms(vms);
      options.onVms?.(vms);
    },
  });
  const timeoutMsByMethod = timeoutsOf(settings);
  const rpc = new RpcClient({
    localAddress: daemon.address,
    bytes,
    transport: options.transport,
    timeoutMsByMethod,
  });
  const platform = createHttpPlatform({
    url: settings.platform.url,
    localAddress: daemon.address,
    timeoutMs: settings.platform.timeoutMs,
    onSocket: (socket) => bytes.track(socket),
  });
  const distribution = new Distribution({
    membership,
    stores,
    rpc,
    platform,
    weight: settings.distribution.weight,
    tuning: tuningOf(settings),
    summary: options.summary,
    onEvent: (record) => logEvent(log, record),
  });
  const handleRpc = createRpcRequestHandler({
    handlers: distribution.handlers,
    bytes,
    transport: options.transport,
    timeoutMsByMethod,
    onHandlerError: (message, error) =>
      logEvent(log, { event: "rpc_fault", message: `${message}: ${error}` }),
  });
  return {
    distribution,
    membership,
    stores,
    handleRpc,
    routingTable: () => distribution.isReady ? routingTable() : undefined,
    fetchSummary: ({ address, peerPort: port }) =>
      rpc.call({ address, port }, { method: "status.summary", params: {} }),
    controlBytes: () => bytes.totals(),
    dump: () => ({
      distribution: withWireNames(distribution.dump()),
      control_bytes: withWireNames(bytes.totals()),
      peer_connections: rpc.connectionCount,
    }),
    start: () => distribution.start(),
    async close() {
      await rpc.close();
      await distribution.close();
      await platform.close();
    },
  };
}

function timeoutsOf({ peers }: Settings): Readonly<Record<RpcMethod, number>> {
  const { rpcTimeoutMs, fetchTimeoutMs } = peers;
  return {
    "digest.exchange": rpcTimeoutMs,
    "versions.push": rpcTimeoutMs,
    "versions.fetch": fetchTimeoutMs,
    "membership.leaving": rpcTimeoutMs,
    "status.summary": rpcTimeoutMs,
  };
}

function tuningOf(settings: Settings): Partial<DistributionTuning> {
  const { distribution, peers, platform } = settings;
  return {
    fanOut: distribution.fanOut,
    zoneLinks: distribution.zoneLinks,
    digestIntervalMs: distribution.digestIntervalMs,
    remoteDigestEvery: distribution.remoteDigestEvery,
    staleAfterMs: distribution.staleAfterMs,
    readStaggerMs: distribution.readStaggerMs,
    pauseThresholdMs: distribution.pauseThresholdMs,
    pauseGateMs: distribution.pauseGateMs,
    joinTimeoutMs: peers.joinTimeoutMs,
    readsPerSecond: platform.readsPerSecond,
    watchWaitMs: platform.watchWaitMs,
  };
}

/**
 * Creates the stores. A change of either store recomputes the routing table if lists are held. A new VM list is
 * first passed to `onVms`.
 */
function createStores({ log, onVms }: {
  readonly log: Logger;
  readonly onVms: (vms: readonly Vm[]) => void;
}) {
  let table: RoutingTable | undefined;
  let lists: { readonly revision: number; readonly content: Lists } | undefined;
  let vms: readonly Vm[] = [];
  // Validation parses a snapshot; the results are kept for use when the snapshot is taken.
  let parsedLists: Lists | undefined;
  let parsedVms: readonly Vm[] = [];

  const recompute = () => {
    if (lists === undefined) return;
    const { revision, content } = lists;
    table = computeRoutingTable({ revision, lists: content, vms });
  };
  const stores: SnapshotStores = {
    lists: new SnapshotStore<"lists">({
      kind: "lists",
      validate: ({ texts }) => {
        const parsed = validateLists(texts);
        if (parsed.isErr) return describeProblems(parsed.error);
        parsedLists = parsed.value;
        return undefined;
      },
      onChange: ({ held }) => {
        lists = { revision: held.revision, content: parsedLists! };
        recompute();
        warnOfPlansWithoutAllowance(log, lists);
      },
    }),
    vms: new SnapshotStore<"vms">({
      kind: "vms",
      validate: ({ texts }) => {
        const parsed = parseVms(texts.vms);
        if (parsed.isErr) return describeProblems(parsed.error);
        parsedVms = parsed.value;
        return undefined;
      },
      onChange: () => {
        vms = parsedVms;
        onVms(vms);
        recompute();
      },
    }),
  };
  return { stores, routingTable: () => table };
}

function warnOfPlansWithoutAllowance(
  log: Logger,
  { revision, content }: {
    readonly revision: number;
    readonly content: Lists;
  },
): void {
  const plans = plansWithoutAllowance(content).join(", ");
  if (plans === "") return;
  logEvent(log, { event: "plans_without_allowance", revision, plans });
}

const MAX_PROBLEMS_DESCRIBED = 10;

/** Describes each problem with its list and line, up to a limit. */
function describeProblems(problems: readonly ListProblem[]): string {
  const shown = problems.slice(0, MAX_PROBLEMS_DESCRIBED).map((problem) => {
    const { location, message } = problem;
    return `${location.list}:${location.line}: ${message}`;
  });
  const rest = problems.length - shown.length;
  return [...shown, ...(rest > 0 ? [`${rest} more`] : [])].join("; ");
}
