import { createServer } from "node:http";
import { PlatformReader } from "@tanagercove/distribution";
import { parseVms, validateLists } from "@tanagercove/lists";
import type { Logger } from "@tanagercove/logs";
import { createHttpPlatform } from "@tanagercove/platform";
import { computeRoutingTable, type RoutingTable } from "@tanagercove/routing";
import type { Settings } from "@tanagercove/settings";
import type { ListProblem, Lists, Vm } from "@tanagercove/types";
import { SnapshotStore } from "@tanagercove/versions";
import { startRequestPath } from "./request_path.ts";

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
  let table: RoutingTable | undefined;
  let lists: Lists | undefined;
  let vms: readonly Vm[] = [];

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
      log.info({
        event: "version_taken",
        revision: held.revision,
        hash: held.hash,
      });
    },
    onRefused: (refused) => log.warn({ event: "version_refused", ...refused }),
  });
  const vmsStore = new SnapshotStore<"vms">({
    kind: "vms",
    validate: ({ texts }) => reasonOf(parseVms(texts.vms)),
    onChange: ({ held }) => {
      vms = parseVms(held.texts.vms).unwrapOr([]);
      recompute();
    },
  });
  const platform = createHttpPlatform({ url: settings.platform.url });
  const reader = new PlatformReader({
    platform,
    lists: listsStore,
    vms: vmsStore,
  });
  const requestPath = await startRequestPath({
    settings,
    routingTable: () => table,
  });
  const operators = createServer((_request, response) => {
    const held = listsStore.held;
    response.setHeader("content-type", "application/json");
    response.end(JSON.stringify({
      vm_id: settings.daemon.vmId,
      zone: settings.daemon.zone,
      revision: held?.revision,
      hash: held?.hash,
      refused: listsStore.refused,
      requests: requestPath.proxy.state(),
    }));
  });
  operators.listen(settings.operators.port, settings.operators.address);
  reader.start();
  log.info({ event: "daemon_started" });

  return {
    async close() {
      await requestPath.close();
      await reader.close();
      await platform.close();
      operators.close();
      operators.closeAllConnections();
      log.info({ event: "daemon_stopped" });
    },
  };
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
