import {
  Distribution,
  type DistributionTuning,
  type SnapshotStores,
  type Weight,
} from "@tanagercove/distribution";
import { parseVms, validateLists } from "@tanagercove/lists";
import type { Logger } from "@tanagercove/logs";
import { Membership, type SeedAddress } from "@tanagercove/membership";
import { type ByteTotals, SocketByteCounter } from "@tanagercove/metrics";
import { createHttpPlatform } from "@tanagercove/platform";
import { computeRoutingTable, type RoutingTable } from "@tanagercove/routing";
import {
  createRpcRequestHandler,
  RpcClient,
  type RpcRequestHandler,
} from "@tanagercove/rpc";
import type { ListProblem, Lists, Vm } from "@tanagercove/types";
import { SnapshotStore } from "@tanagercove/versions";

/** Options of `createConfiguration`. */
export interface CreateConfigurationOptions {
  readonly vmId: string;
  readonly zone: string;
  /** The VM's own address, which outgoing connections come from. */
  readonly address: string;
  readonly platformUrl: string;
  readonly log: Logger;
  readonly seeds?: readonly SeedAddress[];
  readonly readersPerZone?: number;
  readonly weight?: Weight;
  readonly tuning?: Partial<DistributionTuning>;
}

/** The configuration side of a daemon: versions, other daemons and the platform. */
export interface Configuration {
  readonly distribution: Distribution;
  readonly membership: Membership;
  readonly stores: SnapshotStores;
  /** Handles the requests for `/rpc` on the peer port. */
  readonly handleRpc: RpcRequestHandler;
  /** The table in force, or undefined until the daemon has joined and holds a version. */
  routingTable(): RoutingTable | undefined;
  /** Bytes exchanged with other daemons and the platform. */
  controlBytes(): ByteTotals;
  /** Joins and keeps the versions up to date. The peer port must listen before. */
  start(): void;
  close(): Promise<void>;
}

/** Assembles stores, routing table, peers and platform of one daemon. */
export function createConfiguration(
  options: CreateConfigurationOptions,
): Configuration {
  const { log, vmId, zone, address } = options;
  const bytes = new SocketByteCounter();
  const membership = new Membership({
    vmId,
    zone,
    seeds: options.seeds,
    readersPerZone: options.readersPerZone,
  });
  const { stores, routingTable } = createStores(membership);
  const rpc = new RpcClient({ localAddress: address, bytes });
  const platform = createHttpPlatform({
    url: options.platformUrl,
    localAddress: address,
    onSocket: (socket) => bytes.track(socket),
  });
  const distribution = new Distribution({
    membership,
    stores,
    rpc,
    platform,
    weight: options.weight,
    tuning: options.tuning,
    onEvent: ({ event, level, details }) => log[level]({ ...details, event }),
  });
  const handleRpc = createRpcRequestHandler({
    handlers: distribution.handlers,
    bytes,
    onFault: (message, error) =>
      log.error({ event: "rpc_fault", message, error: String(error) }),
  });
  return {
    distribution,
    membership,
    stores,
    handleRpc,
    routingTable: () => distribution.isReady ? routingTable() : undefined,
    controlBytes: () => bytes.totals(),
    start: () => distribution.start(),
    async close() {
      await rpc.close();
      await distribution.close();
      await platform.close();
    },
  };
}

/** Creates the stores, whose changes replace the VM list and the routing table. */
function createStores(membership: Membership) {
  let table: RoutingTable | undefined;
  let lists: { readonly revision: number; readonly content: Lists } | undefined;
  let vms: readonly Vm[] = [];
  // What was parsed to validate a snapshot is used when it is taken.
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
        const verdict = validateLists(texts);
        if (verdict.isErr) return describe(verdict.error);
        parsedLists = verdict.value;
        return undefined;
      },
      onChange: ({ held }) => {
        lists = { revision: held.revision, content: parsedLists! };
        recompute();
      },
    }),
    vms: new SnapshotStore<"vms">({
      kind: "vms",
      validate: ({ texts }) => {
        const verdict = parseVms(texts.vms);
        if (verdict.isErr) return describe(verdict.error);
        parsedVms = verdict.value;
        return undefined;
      },
      onChange: () => {
        vms = parsedVms;
        membership.setVms(vms);
        recompute();
      },
    }),
  };
  return { stores, routingTable: () => table };
}

const MAX_PROBLEMS_DESCRIBED = 10;

/** Names list and line of each problem, up to a limit. */
function describe(problems: readonly ListProblem[]): string {
  const shown = problems.slice(0, MAX_PROBLEMS_DESCRIBED).map((problem) => {
    const { place, message } = problem;
    return `${place.list}:${place.line}: ${message}`;
  });
  const rest = problems.length - shown.length;
  return [...shown, ...(rest > 0 ? [`${rest} more`] : [])].join("; ");
}
