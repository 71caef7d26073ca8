import { isIdentifier } from "@tanagercove/lists";
import type { SnapshotId, SnapshotKind } from "@tanagercove/types";
import type { RefusedVersion } from "@tanagercove/versions";
import type { WatchRole } from "./platform_watch.ts";

/** State of one daemon in `status.summary`, in the form in which it is sent. */
export interface DaemonSummary {
  readonly vm_id: string;
  readonly zone: string;
  readonly process_id: string;
  readonly ready: boolean;
  readonly floor_unconfirmed: boolean;
  readonly role: WatchRole;
  readonly confirmation_age_ms: number | null;
  readonly lists: SnapshotId | null;
  readonly vms: SnapshotId | null;
  readonly refused: Readonly<Record<SnapshotKind, readonly RefusedVersion[]>>;
}

/** Reads a summary that a peer sent; undefined where it has another form. */
export function parseSummary(message: unknown): DaemonSummary | undefined {
  const summary = message as Partial<DaemonSummary> | null | undefined;
  const wellFormed = typeof summary === "object" && summary !== null &&
    typeof summary.vm_id === "string" && isIdentifier(summary.vm_id) &&
    typeof summary.ready === "boolean" &&
    isIdOrNull(summary.lists) && isIdOrNull(summary.vms) &&
    isRefusedList(summary.refused?.lists) &&
    isRefusedList(summary.refused?.vms);
  return wellFormed ? summary as DaemonSummary : undefined;
}

function isId(value: unknown): value is SnapshotId {
  const id = value as Partial<SnapshotId> | null | undefined;
  return Number.isSafeInteger(id?.revision) && typeof id?.hash === "string";
}

function isIdOrNull(value: unknown): boolean {
  return value === null || isId(value);
}

function isRefusedList(value: unknown): boolean {
  return Array.isArray(value) &&
    value.every((item) => isId(item) && "reason" in item);
}
