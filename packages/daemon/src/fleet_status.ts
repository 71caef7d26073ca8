import type { Result } from "true-myth";
import { formatRpcError, type RpcError } from "@tanagercove/errors";
import type { Vm } from "@tanagercove/types";
import {
  asRecord,
  type DaemonSummary,
  numberOf,
  parseSummary,
  textOf,
} from "./daemon_summary.ts";

/** A daemon that did not send a valid summary of itself in time. */
export interface MissingDaemon {
  readonly vm_id: string;
  readonly zone: string;
  readonly address: string;
  readonly peer_port: number;
  readonly reason: string;
}

/** Summaries of the asked daemon and of all others that sent one, and the daemons whose summary is missing. */
export interface FleetStatus {
  /** Id of the VM whose daemon fetched the summaries. */
  readonly asked_by: string;
  readonly daemons: readonly DaemonSummary[];
  readonly missing: readonly MissingDaemon[];
}

/** Fetches the summary of one daemon. */
export type FetchSummary = (vm: Vm) => Promise<Result<unknown, RpcError>>;

/** Options of `gatherFleetStatus`. */
export interface GatherFleetStatusOptions {
  readonly own: DaemonSummary;
  /** VMs in the VM list; this daemon's VM is skipped. */
  readonly vms: readonly Vm[];
  readonly fetchSummary: FetchSummary;
  /** Limit of calls in flight. */
  readonly concurrency?: number;
  /** Time after which no further call is started. */
  readonly timeoutMs?: number;
}

/** Limits the connections that one request by an operator uses at the same time. */
const DEFAULT_CONCURRENCY = 32;
const DEFAULT_TIMEOUT_MS = 5_000;

/** Fetches the summaries of all daemons in the VM list, a limited number at a time. */
export async function gatherFleetStatus(
  options: GatherFleetStatusOptions,
): Promise<FleetStatus> {
  const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  const deadlineAtMs = performance.now() + timeoutMs;
  const daemons: DaemonSummary[] = [options.own];
  const missing: MissingDaemon[] = [];
  const queue = options.vms.filter(({ id }) => id !== options.own.vm_id);

  async function processQueue(): Promise<void> {
    for (let vm = queue.shift(); vm !== undefined; vm = queue.shift()) {
      if (performance.now() >= deadlineAtMs) {
        missing.push(missingDaemon(vm, `Not asked within ${timeoutMs} ms`));
        continue;
      }
      const answer = await options.fetchSummary(vm);
      const summary = answer.isOk ? parseSummary(answer.value) : undefined;
      if (summary?.vm_id === vm.id) daemons.push(summary);
      else missing.push(missingDaemon(vm, reasonOf(answer, summary)));
    }
  }

  const concurrency = options.concurrency ?? DEFAULT_CONCURRENCY;
  await Promise.all(Array.from({ length: concurrency }, processQueue));
  return {
    asked_by: options.own.vm_id,
    daemons: daemons.sort((a, b) =>
      compare(`${a.zone} ${a.vm_id}`, `${b.zone} ${b.vm_id}`)
    ),
    missing: missing.sort((a, b) =>
      compare(`${a.zone} ${a.vm_id}`, `${b.zone} ${b.vm_id}`)
    ),
  };
}

/** Parses the response of an operators' port; returns undefined if it is malformed. */
export function parseFleetStatus(value: unknown): FleetStatus | undefined {
  const fields = asRecord(value);
  const askedBy = textOf(fields?.asked_by);
  if (
    fields === undefined || askedBy === undefined ||
    !Array.isArray(fields.daemons) || !Array.isArray(fields.missing)
  ) return undefined;
  return {
    asked_by: askedBy,
    daemons: fields.daemons.flatMap((item) => parseSummary(item) ?? []),
    missing: fields.missing.map((item) => {
      const daemon = asRecord(item);
      return {
        vm_id: textOf(daemon?.vm_id) ?? "",
        zone: textOf(daemon?.zone) ?? "",
        address: textOf(daemon?.address) ?? "",
        peer_port: numberOf(daemon?.peer_port) ?? 0,
        reason: textOf(daemon?.reason) ?? "",
      };
    }),
  };
}

function reasonOf(
  answer: Result<unknown, RpcError>,
  summary: DaemonSummary | undefined,
): string {
  if (answer.isErr) return formatRpcError(answer.error);
  return summary === undefined
    ? "Malformed summary"
    : `Another VM answered: "${summary.vm_id}"`;
}

function missingDaemon(vm: Vm, reason: string): MissingDaemon {
  return {
    vm_id: vm.id,
    zone: vm.zone,
    address: vm.address,
    peer_port: vm.peerPort,
    reason,
  };
}

function compare(a: string, b: string): number {
  return a < b ? -1 : a > b ? 1 : 0;
}
