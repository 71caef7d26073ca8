import type {
  DaemonSummary,
  FleetStatus,
  MissingDaemon,
} from "@tanagercove/daemon";

/** Daemons of one zone that hold the same version of the lists. */
export interface VersionGroup {
  /** Undefined, as is `hash`, for daemons without a version. */
  readonly revision: number | undefined;
  readonly hash: string | undefined;
  readonly zone: string;
  readonly daemons: number;
}

/** A problem of one daemon. */
export interface Finding {
  readonly vm_id: string;
  readonly zone: string;
  readonly reason: string;
}

/**
 * A refused version that is newer than any version in force, with the number of daemons that refused it for
 * this reason.
 */
export interface RefusedNewVersion {
  readonly revision: number;
  readonly hash: string;
  readonly reason: string;
  readonly daemons: number;
}

/** What an operator needs to know about the fleet. */
export interface StatusReport {
  readonly asked_by: string;
  readonly daemons_known: number;
  readonly newest_revision: number | undefined;
  readonly newest_in_force_on: number;
  readonly versions: readonly VersionGroup[];
  readonly findings: readonly Finding[];
  readonly refused: readonly RefusedNewVersion[];
  readonly missing: readonly MissingDaemon[];
  readonly good: boolean;
}

/** Derives the versions and problems from the status of all daemons; `good` is true if there is no problem. */
export function judgeStatus(status: FleetStatus): StatusReport {
  const { daemons, missing } = status;
  const newest = findNewest(daemons);
  const findings = daemons.flatMap((daemon) => findingsOf(daemon, newest));
  findings.push(...findUnconfirmed(daemons));
  const refused = groupRefused(daemons, newest?.revision ?? 0);
  return {
    asked_by: status.asked_by,
    daemons_known: daemons.length + missing.length,
    newest_revision: newest?.revision,
    newest_in_force_on:
      daemons.filter(({ revision }) =>
        revision !== undefined && revision === newest?.revision
      ).length,
    versions: groupVersions(daemons),
    findings,
    refused,
    missing,
    good: findings.length + refused.length + missing.length === 0,
  };
}

function findNewest(
  daemons: readonly DaemonSummary[],
): DaemonSummary | undefined {
  return daemons.reduce<DaemonSummary | undefined>(
    (newest, daemon) =>
      (daemon.revision ?? -1) > (newest?.revision ?? -1) ? daemon : newest,
    undefined,
  );
}

function findingsOf(
  daemon: DaemonSummary,
  newest: DaemonSummary | undefined,
): readonly Finding[] {
  const { vm_id, zone, state, revision, hash } = daemon;
  const reasons: string[] = [];
  if (state !== "serving") reasons.push(`It is ${state}`);
  if (newest !== undefined && revision !== newest.revision) {
    reasons.push(
      `It holds ${revision ?? "no version"}, the newest is ${newest.revision}`,
    );
  }
  if (revision === newest?.revision && hash !== newest?.hash) {
    reasons.push(
      `It holds other content of revision ${revision} than ${newest?.vm_id}`,
    );
  }
  return reasons.map((reason) => ({ vm_id, zone, reason }));
}

/**
 * Finds daemons whose version may be outdated. A daemon is unconfirmed if it started without a response from
 * another daemon with a version; it stays unconfirmed until its next start. That is no problem if a confirmed
 * daemon has the same or a newer version. If no confirmed daemon has a version, all unconfirmed daemons are
 * found, also those without a version.
 */
function findUnconfirmed(
  daemons: readonly DaemonSummary[],
): readonly Finding[] {
  const confirmed = Math.max(
    -1,
    ...daemons.filter(({ floor_unconfirmed }) => !floor_unconfirmed)
      .map(({ revision }) => revision ?? -1),
  );
  return daemons
    .filter(({ floor_unconfirmed, revision }) =>
      floor_unconfirmed && (revision ?? 0) > confirmed
    )
    .map(({ vm_id, zone }) => ({
      vm_id,
      zone,
      reason: "No other daemon confirmed its version",
    }));
}

function groupVersions(
  daemons: readonly DaemonSummary[],
): readonly VersionGroup[] {
  const groups = new Map<string, VersionGroup>();
  for (const { revision, hash, zone } of daemons) {
    const key = JSON.stringify([revision, hash, zone]);
    const count = groups.get(key)?.daemons ?? 0;
    groups.set(key, { revision, hash, zone, daemons: count + 1 });
  }
  return [...groups.values()].sort((a, b) =>
    (b.revision ?? -1) - (a.revision ?? -1) || (a.zone < b.zone ? -1 : 1)
  );
}

/**
 * Groups the refusals of versions newer than any in force; the others need no action, since a version in force
 * has replaced them.
 */
function groupRefused(
  daemons: readonly DaemonSummary[],
  newestRevision: number,
): readonly RefusedNewVersion[] {
  const groups = new Map<string, RefusedNewVersion>();
  for (const refused of daemons.flatMap(({ refused }) => refused)) {
    if (refused.revision <= newestRevision) continue;
    const { revision, hash, reason } = refused;
    const key = JSON.stringify([revision, hash, reason]);
    const count = groups.get(key)?.daemons ?? 0;
    groups.set(key, { revision, hash, reason, daemons: count + 1 });
  }
  return [...groups.values()].sort((a, b) => b.revision - a.revision);
}
