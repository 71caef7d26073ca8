import type { RefusedVersion } from "@tanagercove/versions";

/** Lifecycle state of a daemon. */
export type DaemonState = "starting" | "serving" | "draining";

/** Summary that a daemon reports about itself, with the field names of the wire. */
export interface DaemonSummary {
  readonly vm_id: string;
  readonly zone: string;
  readonly region: string;
  readonly service: string;
  readonly state: DaemonState;
  /** Version of the program. */
  readonly program_version: string;
  readonly uptime_ms: number;
  /** Revision of the lists that the daemon holds; absent while it holds none. */
  readonly revision?: number;
  readonly hash?: string;
  readonly vms_revision?: number;
  /**
   * Time since the platform last confirmed the versions in force to any daemon, as far as this one knows; absent
   * before the first confirmation.
   */
  readonly confirmation_age_ms?: number;
  /** Whether joining ended without an answer from another daemon that holds lists. */
  readonly floor_unconfirmed: boolean;
  readonly refused: readonly RefusedVersion[];
}

const STATES: readonly DaemonState[] = ["starting", "serving", "draining"];
/** Longer texts from another daemon are truncated. */
const MAX_TEXT_LENGTH = 2_000;
const MAX_REFUSED = 16;

/** Parses the summary of another daemon; returns undefined if a required field is missing or malformed. */
export function parseSummary(value: unknown): DaemonSummary | undefined {
  const fields = asRecord(value);
  const state = STATES.find((known) => known === fields?.state);
  if (fields === undefined || state === undefined) return undefined;
  const text = (name: string) => textOf(fields[name]);
  const number = (name: string) => numberOf(fields[name]);
  const vmId = text("vm_id");
  const zone = text("zone");
  if (vmId === undefined || zone === undefined) return undefined;
  return {
    vm_id: vmId,
    zone,
    region: text("region") ?? "",
    service: text("service") ?? "",
    state,
    program_version: text("program_version") ?? "",
    uptime_ms: number("uptime_ms") ?? 0,
    revision: number("revision"),
    hash: text("hash"),
    vms_revision: number("vms_revision"),
    confirmation_age_ms: number("confirmation_age_ms"),
    floor_unconfirmed: fields.floor_unconfirmed === true,
    refused: parseRefused(fields.refused),
  };
}

function parseRefused(value: unknown): readonly RefusedVersion[] {
  if (!Array.isArray(value)) return [];
  return value.slice(0, MAX_REFUSED).flatMap((item) => {
    const fields = asRecord(item);
    const revision = numberOf(fields?.revision);
    const hash = textOf(fields?.hash);
    const reason = textOf(fields?.reason);
    return revision === undefined || hash === undefined || reason === undefined
      ? []
      : [{ revision, hash, reason }];
  });
}

/** Returns the value if it is an object, otherwise undefined. */
export function asRecord(
  value: unknown,
): Readonly<Record<string, unknown>> | undefined {
  return typeof value === "object" && value !== null
    ? value as Readonly<Record<string, unknown>>
    : undefined;
}

/** Returns a text, truncated to a length that a report can show; undefined for any other value. */
export function textOf(value: unknown): string | undefined {
  return typeof value === "string"
    ? value.slice(0, MAX_TEXT_LENGTH)
    : undefined;
}

/** Returns the value if it is a finite number, otherwise undefined. */
export function numberOf(value: unknown): number | undefined {
  return typeof value === "number" && Number.isFinite(value)
    ? value
    : undefined;
}
