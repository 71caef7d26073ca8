import { isIdentifier } from "@tanagercove/lists";
import type { LeavingNotice } from "@tanagercove/membership";
import type {
  Snapshot,
  SnapshotId,
  SnapshotKind,
  SnapshotTexts,
} from "@tanagercove/types";
import type { Delta, LineEdit } from "@tanagercove/versions";

/** The process that sent a message. */
export interface Sender {
  readonly vmId: string;
  readonly processId: string;
}

/** A daemon of the sender's zone to which the platform has recently confirmed the versions in force. */
export interface ConfirmedReader {
  readonly vmId: string;
  readonly ageMs: number;
}

/** Versions held by a daemon and other state that daemons share, in `digest.exchange`. */
export interface Digest {
  readonly sender: Sender;
  readonly lists: SnapshotId | undefined;
  readonly vms: SnapshotId | undefined;
  /**
   * Time since the platform last confirmed the versions in force to any daemon, as far as the sender knows;
   * undefined before the first confirmation.
   */
  readonly confirmationAgeMs: number | undefined;
  /**
   * The daemon of the sender's zone that the sender knows to have a confirmation younger than `staleAfterMs`. If it
   * knows several, the one with the smallest rank.
   */
  readonly reader: ConfirmedReader | undefined;
  readonly notices: readonly LeavingNotice[];
}

/** A new version, in `versions.push`. Without a delta it is only announced. */
export interface Push {
  readonly sender: Sender;
  readonly kind: SnapshotKind;
  readonly target: SnapshotId;
  readonly delta: Delta | undefined;
}

/** Request for a version newer than `have`, in `versions.fetch`. */
export interface FetchRequest {
  readonly sender: Sender;
  readonly kind: SnapshotKind;
  readonly have: SnapshotId | undefined;
}

/** A snapshot whose hash has not been checked. */
export type ReceivedSnapshot = {
  readonly [K in SnapshotKind]: Snapshot<K>;
}[SnapshotKind];

/** Response to `versions.fetch`. */
export type FetchResponse =
  | { readonly type: "nothing_newer" }
  | { readonly type: "deltas"; readonly deltas: readonly Delta[] }
  | { readonly type: "snapshot"; readonly snapshot: ReceivedSnapshot };

type Fields = Readonly<Record<string, unknown>>;

const MAX_NOTICES = 64;
const MAX_DELTAS = 64;
const HASH = /^[0-9a-f]{64}$/;
const PROCESS_ID = /^[0-9A-Za-z-]{1,64}$/;
const TEXT_NAMES: Readonly<Record<SnapshotKind, readonly string[]>> = {
  lists: ["plans", "allowances"],
  vms: ["vms"],
};

export function encodeDigest(digest: Digest): unknown {
  const { sender, lists, vms, confirmationAgeMs, reader, notices } = digest;
  return {
    sender: encodeSender(sender),
    lists,
    vms,
    confirmation_age_ms: confirmationAgeMs,
    reader: reader && { vm_id: reader.vmId, age_ms: reader.ageMs },
    leaving: notices.slice(0, MAX_NOTICES).map((notice) => ({
      vm_id: notice.vmId,
      process_id: notice.processId,
      age_ms: notice.ageMs,
    })),
  };
}

/** Returns undefined for a malformed message, as do the other parsers here. */
export function parseDigest(message: unknown): Digest | undefined {
  const fields = fieldsOf(message);
  const sender = parseSender(fields?.sender);
  const notices = parseNotices(fields?.leaving);
  if (fields === undefined || sender === undefined || notices === undefined) {
    return undefined;
  }
  const { lists, vms, confirmation_age_ms: confirmationAgeMs } = fields;
  const reader = fields.reader === undefined
    ? undefined
    : parseReader(fields.reader);
  const wellFormed = isOptionalId(lists) && isOptionalId(vms) &&
    (confirmationAgeMs === undefined || isCount(confirmationAgeMs)) &&
    (reader !== undefined || fields.reader === undefined);
  if (!wellFormed) return undefined;
  return {
    sender,
    lists: idOf(lists),
    vms: idOf(vms),
    confirmationAgeMs,
    reader,
    notices,
  };
}

export function encodePush(push: Push): unknown {
  return { ...push, sender: encodeSender(push.sender) };
}

export function parsePush(message: unknown): Push | undefined {
  const fields = fieldsOf(message);
  const sender = parseSender(fields?.sender);
  if (fields === undefined || sender === undefined) return undefined;
  const { kind, target } = fields;
  if (!isKind(kind) || !isId(target)) return undefined;
  if (fields.delta === undefined) {
    return { sender, kind, target: idOf(target), delta: undefined };
  }
  const delta = parseDelta(fields.delta);
  const deltaMatches = delta !== undefined && delta.kind === kind &&
    delta.target.revision === target.revision &&
    delta.target.hash === target.hash;
  return deltaMatches
    ? { sender, kind, target: idOf(target), delta }
    : undefined;
}

export function encodeFetchRequest(request: FetchRequest): unknown {
  return { ...request, sender: encodeSender(request.sender) };
}

export function parseFetchRequest(message: unknown): FetchRequest | undefined {
  const fields = fieldsOf(message);
  const sender = parseSender(fields?.sender);
  if (fields === undefined || sender === undefined) return undefined;
  const { kind, have } = fields;
  if (!isKind(kind) || !isOptionalId(have)) return undefined;
  return { sender, kind, have: idOf(have) };
}

export function parseFetchResponse(
  message: unknown,
): FetchResponse | undefined {
  const fields = fieldsOf(message);
  if (fields?.type === "nothing_newer") return { type: "nothing_newer" };
  if (fields?.type === "snapshot") {
    const snapshot = parseSnapshot(fields.snapshot);
    return snapshot && { type: "snapshot", snapshot };
  }
  if (fields?.type !== "deltas" || !Array.isArray(fields.deltas)) {
    return undefined;
  }
  const deltas = fields.deltas.slice(0, MAX_DELTAS + 1).map(parseDelta);
  const complete = deltas.length > 0 && deltas.length <= MAX_DELTAS &&
    deltas.every((delta) => delta !== undefined);
  return complete ? { type: "deltas", deltas } : undefined;
}

export function encodeNotice(notice: LeavingNotice): unknown {
  return {
    vm_id: notice.vmId,
    process_id: notice.processId,
    age_ms: notice.ageMs,
  };
}

export function parseNotice(message: unknown): LeavingNotice | undefined {
  const sender = parseSender(message);
  const ageMs = fieldsOf(message)?.age_ms;
  if (sender === undefined || !isCount(ageMs)) return undefined;
  return { ...sender, ageMs };
}

function encodeSender({ vmId, processId }: Sender): unknown {
  return { vm_id: vmId, process_id: processId };
}

function parseSender(value: unknown): Sender | undefined {
  const { vm_id: vmId, process_id: processId } = fieldsOf(value) ?? {};
  if (typeof vmId !== "string" || !isIdentifier(vmId)) return undefined;
  if (typeof processId !== "string" || !PROCESS_ID.test(processId)) {
    return undefined;
  }
  return { vmId, processId };
}

function parseNotices(value: unknown): readonly LeavingNotice[] | undefined {
  if (!Array.isArray(value) || value.length > MAX_NOTICES) return undefined;
  const notices = value.map(parseNotice);
  return notices.every((notice) => notice !== undefined) ? notices : undefined;
}

function parseReader(value: unknown): ConfirmedReader | undefined {
  const { vm_id: vmId, age_ms: ageMs } = fieldsOf(value) ?? {};
  if (typeof vmId !== "string" || !isIdentifier(vmId)) return undefined;
  return isCount(ageMs) ? { vmId, ageMs } : undefined;
}

/** Copies known fields only, so that nothing else that a peer sends is stored or forwarded. */
function parseDelta(value: unknown): Delta | undefined {
  const { kind, base, target, edits } = fieldsOf(value) ?? {};
  const editFields = fieldsOf(edits);
  const wellFormed = isKind(kind) && isId(base) && isId(target) &&
    editFields !== undefined;
  if (!wellFormed || target.revision <= base.revision) return undefined;
  const parsed: Record<string, readonly LineEdit[]> = {};
  for (const [name, list] of Object.entries(editFields)) {
    const lineEdits = parseLineEdits(list);
    if (!TEXT_NAMES[kind].includes(name) || lineEdits === undefined) {
      return undefined;
    }
    parsed[name] = lineEdits;
  }
  return { kind, base: idOf(base), target: idOf(target), edits: parsed };
}

function parseLineEdits(value: unknown): readonly LineEdit[] | undefined {
  if (!Array.isArray(value)) return undefined;
  const edits = value.map(parseLineEdit);
  return edits.every((edit) => edit !== undefined) ? edits : undefined;
}

function parseLineEdit(value: unknown): LineEdit | undefined {
  const { op, count, lines } = fieldsOf(value) ?? {};
  if (op === "insert") {
    const texts = Array.isArray(lines) &&
      lines.every((line) => typeof line === "string");
    return texts ? { op, lines } : undefined;
  }
  return (op === "keep" || op === "drop") && isCount(count)
    ? { op, count }
    : undefined;
}

function parseSnapshot(value: unknown): ReceivedSnapshot | undefined {
  const { kind, revision, hash, texts } = fieldsOf(value) ?? {};
  const id = { revision, hash };
  const textFields = fieldsOf(texts);
  if (!isKind(kind) || !isId(id) || textFields === undefined) return undefined;
  const names = TEXT_NAMES[kind];
  const complete = names.every((name) => typeof textFields[name] === "string");
  if (!complete) return undefined;
  const known = Object.fromEntries(
    names.map((name) => [name, textFields[name]]),
  );
  const checked = known as unknown as SnapshotTexts[typeof kind];
  return { ...id, kind, texts: checked } as ReceivedSnapshot;
}

function fieldsOf(value: unknown): Fields | undefined {
  const isObject = typeof value === "object" && value !== null &&
    !Array.isArray(value);
  return isObject ? value as Fields : undefined;
}

function isKind(value: unknown): value is SnapshotKind {
  return value === "lists" || value === "vms";
}

function isCount(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

function isId(value: unknown): value is SnapshotId {
  const { revision, hash } = fieldsOf(value) ?? {};
  return isCount(revision) && typeof hash === "string" && HASH.test(hash);
}

function isOptionalId(value: unknown): value is SnapshotId | undefined {
  return value === undefined || isId(value);
}

function idOf(id: SnapshotId): SnapshotId;
function idOf(id: SnapshotId | undefined): SnapshotId | undefined;
function idOf(id: SnapshotId | undefined): SnapshotId | undefined {
  return id && { revision: id.revision, hash: id.hash };
}
