import { setTimeout as sleep } from "node:timers/promises";
import type { RelayRule } from "@tanagercove/emulator";
import type { FaultKind, PlannedFault } from "./plan.ts";
import type { UpstreamMode } from "./ports.ts";
import type {
  ColdInterval,
  EvacuationInterval,
  LeavingInterval,
  LimitInterval,
} from "./promises.ts";
import type { SoakDaemon, SoakFleet } from "./soak_fleet.ts";

/** State that faults change. */
export interface FaultTarget {
  readonly fleet: SoakFleet;
  /** Ended drains; each is added when its fault ends. */
  readonly leaving: LeavingInterval[];
  /** Indexes of the VMs whose upstreams are draining now. */
  readonly draining: Set<number>;
  /** Ended evacuations; each is added when its fault ends. */
  readonly evacuations: EvacuationInterval[];
  /** Zones that are evacuated now. */
  readonly evacuated: Set<string>;
  /** Whether a copy of the store is kept, or what it lacked is yet to be written again. */
  isStoreCopied: boolean;
  /** Ended periods in which an upstream named a limit; each is added when its fault ends. */
  readonly limits: LimitInterval[];
  /** Indexes of the VMs whose upstreams name a limit now. */
  readonly limited: Set<number>;
  /** Ended periods in which an upstream was cold; each is added when its fault ends. */
  readonly coldTimes: ColdInterval[];
  /** Indexes of the VMs whose upstreams are cold now. */
  readonly cold: Set<number>;
  /** Indexes of the VMs whose upstreams have another id now. */
  readonly renewed: Set<number>;
  publishNext(): void;
}

/**
 * Ends a fault; resolves when the fault is no longer applied. For `kill` and `restart`, that is when the
 * daemon's process has been launched again, though it may not be ready yet.
 */
export type EndFault = () => void | Promise<void>;

/** Added to the duration of a drain, so that it outlasts the bound for leaving upstreams. */
const DRAIN_EXTRA_MS = 4_000;

/** Added to the duration of a limit, so that it outlasts the time from which it must be kept. */
const LIMIT_EXTRA_MS = 6_000;

/** Added to the duration of a cold time, so that it has several seconds. */
const COLD_EXTRA_MS = 1_500;
/** Added to the duration of a change that no daemon sees, so that it outlasts the bound for versions. */
const UNSEEN_EXTRA_MS = 4_000;

/** Time after which no watch waits at the store that began before it fell silent; one that does is told the version. */
const UNSEEN_DELAY_MS = 1_000;

/** Added to the duration of an evacuation, so that it outlasts its bound also if a fault of the store delays it. */
const EVACUATION_EXTRA_MS = 9_000;

/** Well below the load of an upstream, about 50 requests per second. */
const LIMIT_PER_SECOND = 15;

/** Time for which an upstream that has left is stopped before it starts anew. */
const UPSTREAM_RESTART_MS = 500;

/** Time for which the entry of a former id of an upstream stays. */
const FORMER_ENTRY_MS = 1_500;

/** Delay of a slow link in each direction, as on a congested link between regions. */
const LINK_DELAY_MS = 150;

/** Time added to the planned duration of a fault, by kind. */
const EXTRA_MS: Partial<Record<FaultKind, number>> = {
  change_version_unseen: UNSEEN_EXTRA_MS,
  cold_upstream: COLD_EXTRA_MS,
  drain_upstream: DRAIN_EXTRA_MS,
  evacuate_zone: EVACUATION_EXTRA_MS,
  limit_upstream: LIMIT_EXTRA_MS,
};

const NO_OP: EndFault = () => {};

/** Faults that excuse the VMs they strike from what upstreams say in their answers. */
export const CUTS_VM: ReadonlySet<FaultKind> = new Set<FaultKind>([
  "cut_link",
  "cut_one_way",
  "cut_zone",
  "delay_link",
  "lose_connections",
  "silence_link",
]);

/** Faults during which new versions and upstream states may reach some daemons late or not at all. */
export const DELAYS_PROPAGATION: ReadonlySet<FaultKind> = new Set<FaultKind>([
  "change_version_unseen",
  "cut_link",
  "cut_one_way",
  "cut_zone",
  "delay_link",
  "drop_history",
  "kill",
  "lose_connections",
  "pause",
  "restart",
  "return_older_store",
  "silence_link",
  "silence_platform",
  "stop_platform",
]);

const HANDLERS: Record<
  FaultKind,
  (target: FaultTarget, fault: PlannedFault) => EndFault
> = {
  change_version(target) {
    target.publishNext();
    return NO_OP;
  },
  change_version_unseen({ fleet, publishNext }) {
    fleet.store.setMode("silent");
    const timer = setTimeout(publishNext, UNSEEN_DELAY_MS);
    return () => {
      clearTimeout(timer);
      fleet.store.setMode("answer");
    };
  },
  cold_upstream({ fleet, coldTimes, cold, draining, renewed }, fault) {
    const { vm } = fault;
    if (cold.has(vm) || draining.has(vm) || renewed.has(vm)) return NO_OP;
    cold.add(vm);
    const upstream = fleet.upstreams[vm]!;
    const fromMs = performance.now();
    const untilMs = fromMs + faultDurationMs(fault);
    upstream.restartCold(faultDurationMs(fault));
    return () => {
      cold.delete(vm);
      coldTimes.push({ upstreamId: upstream.vmId, fromMs, untilMs });
    };
  },
  cut_link: linkFault({ action: "cut", bothWays: true }),
  cut_one_way: linkFault({ action: "cut" }),
  silence_link: linkFault({ action: "silent", bothWays: true }),
  lose_connections: linkFault({
    action: "silent",
    newConnections: "pass",
    bothWays: true,
  }),
  delay_link: linkFault({ delayMs: LINK_DELAY_MS, bothWays: true }),
  cut_zone({ fleet }, { vm }) {
    const { zone } = fleet.vms[vm]!;
    const otherZone = fleet.vms.find((other) => other.zone !== zone)!.zone;
    const rule = fleet.relay.addRule({
      from: { zone },
      to: { zone: otherZone },
      bothWays: true,
      action: "cut",
    });
    return () => rule.remove();
  },
  drain_upstream({ fleet, leaving, draining, renewed }, { vm }) {
    // A second drain could end before the first one and set the upstream ready while the first still counts it as leaving.
    if (draining.has(vm) || renewed.has(vm)) return NO_OP;
    draining.add(vm);
    const vmToDrain = fleet.vms[vm]!;
    const upstream = fleet.upstreams[vm]!;
    const fromMs = performance.now();
    fleet.store.setUpstream(vmToDrain, "draining");
    upstream.notices = { ...upstream.notices, isLeaving: true };
    return async () => {
      const untilMs = performance.now();
      leaving.push({ upstreamId: upstream.vmId, fromMs, untilMs });
      upstream.notices = { ...upstream.notices, isLeaving: false };
      await sleep(UPSTREAM_RESTART_MS);
      draining.delete(vm);
      fleet.store.setUpstream(vmToDrain, "ready");
    };
  },
  limit_upstream({ fleet, limits, limited }, { vm }) {
    if (limited.has(vm)) return NO_OP;
    limited.add(vm);
    const upstream = fleet.upstreams[vm]!;
    const fromMs = performance.now();
    const limitPerSecond = LIMIT_PER_SECOND;
    upstream.notices = { ...upstream.notices, limitPerSecond };
    return () => {
      limited.delete(vm);
      const untilMs = performance.now();
      const upstreamId = upstream.vmId;
      limits.push({ upstreamId, limitPerSecond, fromMs, untilMs });
      upstream.notices = { ...upstream.notices, limitPerSecond: undefined };
    };
  },
  drop_history({ fleet }) {
    fleet.store.dropHistory();
    return NO_OP;
  },
  evacuate_zone({ fleet, evacuated, evacuations }, { vm }) {
    const { zone } = fleet.vms[vm]!;
    // With all zones evacuated, no request could show a broken promise.
    if (evacuated.size > 0) return NO_OP;
    evacuated.add(zone);
    const fromMs = performance.now();
    fleet.store.setEvacuated(zone, true);
    return () => {
      evacuations.push({ zone, fromMs, untilMs: performance.now() });
      evacuated.delete(zone);
      fleet.store.setEvacuated(zone, false);
    };
  },
  return_older_store(target) {
    // A copy of a store that has just come back would lack what is yet to be written again.
    if (target.isStoreCopied) return NO_OP;
    target.isStoreCopied = true;
    target.fleet.store.takeCopy();
    return async () => {
      await target.fleet.store.returnAsCopy();
      target.isStoreCopied = false;
    };
  },
  stop_platform({ fleet }) {
    fleet.store.setMode("refuse");
    return () => fleet.store.setMode("answer");
  },
  silence_platform({ fleet }) {
    fleet.store.setMode("silent");
    return () => fleet.store.setMode("answer");
  },
  hang_upstream: upstreamFault("hang"),
  lose_answers: upstreamFault("cut"),
  misreport_upstream: upstreamFault("misreport"),
  /** Restarts an upstream twice under other ids at its address; the entry of each former id stays for a while. */
  renew_upstream({ fleet, draining, renewed }, { vm }) {
    if (draining.has(vm) || renewed.has(vm)) return NO_OP;
    renewed.add(vm);
    const upstream = fleet.upstreams[vm]!;
    const renewedVm = { ...fleet.vms[vm]!, id: `${upstream.vmId}-renewed` };
    upstream.repeatsRefusals = true;
    upstream.restartAs(renewedVm.id);
    fleet.store.setUpstream(renewedVm, "ready");
    return async () => {
      upstream.restartAs(upstream.vmId);
      fleet.store.setUpstream(fleet.vms[vm]!, "ready");
      await sleep(FORMER_ENTRY_MS);
      fleet.store.removeUpstream(renewedVm.id);
      upstream.repeatsRefusals = false;
      renewed.delete(vm);
    };
  },
  shed_upstream: upstreamFault("shed"),
  kill: daemonFault((fleet, daemon) => {
    const killed = fleet.kill(daemon);
    return async () => {
      await killed;
      fleet.launch(daemon);
    };
  }),
  restart: daemonFault((fleet, daemon) => {
    const stopped = fleet.stop(daemon);
    return async () => {
      await stopped;
      fleet.launch(daemon);
    };
  }),
  pause: daemonFault((fleet, daemon) => fleet.pause(daemon)),
  write_foreign_entries({ fleet }) {
    for (const vm of fleet.vms) fleet.store.setForeignEntry(vm, true);
    return () => {
      for (const vm of fleet.vms) fleet.store.setForeignEntry(vm, false);
    };
  },
  write_malformed_entry({ fleet }) {
    fleet.store.setMalformedEntry(true);
    return () => fleet.store.setMalformedEntry(false);
  },
  reload: daemonFault((_fleet, daemon) => {
    daemon.process!.reload();
    return NO_OP;
  }),
};

/** Starts a fault; the returned function ends it. */
export function applyFault(target: FaultTarget, fault: PlannedFault): EndFault {
  return HANDLERS[fault.kind](target, fault);
}

/** Returns how long a fault lasts. */
export function faultDurationMs({ kind, forMs }: PlannedFault): number {
  return forMs + (EXTRA_MS[kind] ?? 0);
}

function linkFault(rule: Omit<RelayRule, "from" | "to">) {
  return (
    { fleet }: FaultTarget,
    { vm, otherVm }: PlannedFault,
  ): EndFault => {
    const handle = fleet.relay.addRule({
      ...rule,
      from: { id: fleet.vms[vm]!.id },
      to: { id: fleet.vms[otherVm]!.id },
    });
    return () => handle.remove();
  };
}

function upstreamFault(mode: UpstreamMode) {
  return ({ fleet }: FaultTarget, { vm }: PlannedFault): EndFault => {
    const upstream = fleet.upstreams[vm]!;
    upstream.mode = mode;
    return () => void (upstream.mode = "answer");
  };
}

/** Creates a handler that applies a fault only to a running daemon; on a paused, stopping or stopped one it would test nothing. */
function daemonFault(
  begin: (fleet: SoakFleet, daemon: SoakDaemon) => EndFault,
) {
  return ({ fleet }: FaultTarget, { vm }: PlannedFault): EndFault => {
    const daemon = fleet.daemons[vm]!;
    return daemon.state === "running" ? begin(fleet, daemon) : NO_OP;
  };
}
