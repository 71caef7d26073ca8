import type { RelayRule } from "@tanagercove/emulator";
import type { FaultKind, PlannedFault } from "./plan.ts";
import type { UpstreamMode } from "./ports.ts";
import type { LeavingInterval } from "./promises.ts";
import type { SoakDaemon, SoakFleet } from "./soak_fleet.ts";

/** State that faults change. */
export interface FaultTarget {
  readonly fleet: SoakFleet;
  /** Ended drains; each is added when its fault ends. */
  readonly leaving: LeavingInterval[];
  /** Indexes of the VMs whose upstreams are draining now. */
  readonly draining: Set<number>;
  publishNext(): void;
}

/**
 * Ends a fault; resolves when the fault is no longer applied. For `kill` and `restart`, that is when the
 * daemon's process has been launched again, though it may not be ready yet.
 */
export type EndFault = () => void | Promise<void>;

/** Added to the duration of a drain, so that it outlasts the bound for leaving upstreams. */
const DRAIN_EXTRA_MS = 4_000;

/** Delay of a slow link in each direction, as on a congested link between regions. */
const LINK_DELAY_MS = 150;

const NO_OP: EndFault = () => {};

/** Faults during which new versions and upstream states may reach some daemons late or not at all. */
export const DELAYS_PROPAGATION: ReadonlySet<FaultKind> = new Set<FaultKind>([
  "cut_link",
  "cut_one_way",
  "cut_zone",
  "delay_link",
  "drop_history",
  "kill",
  "lose_connections",
  "pause",
  "restart",
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
  drain_upstream({ fleet, leaving, draining }, { vm }) {
    // A second drain could end before the first one and set the upstream ready while the first still counts it as leaving.
    if (draining.has(vm)) return NO_OP;
    draining.add(vm);
    const vmToDrain = fleet.vms[vm]!;
    const upstreamId = fleet.upstreams[vm]!.id;
    const fromMs = performance.now();
    fleet.store.setUpstream(vmToDrain, "draining");
    return () => {
      draining.delete(vm);
      leaving.push({ upstreamId, fromMs, untilMs: performance.now() });
      fleet.store.setUpstream(vmToDrain, "ready");
    };
  },
  drop_history({ fleet }) {
    fleet.store.dropHistory();
    return NO_OP;
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
  return kind === "drain_upstream" ? forMs + DRAIN_EXTRA_MS : forMs;
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
