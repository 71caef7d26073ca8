import { diffArrays } from "diff";
import { Result } from "true-myth";
import type {
  Snapshot,
  SnapshotId,
  SnapshotKind,
  SnapshotTexts,
} from "@tanagercove/types";
import { contentHash } from "./content_hash.ts";

/** One step of an edit script that goes through the lines of a text in order. */
export type LineEdit =
  | { readonly op: "keep"; readonly count: number }
  | { readonly op: "drop"; readonly count: number }
  | { readonly op: "insert"; readonly lines: readonly string[] };

/** Difference between two snapshots of the same kind; unchanged texts are omitted. */
export interface Delta {
  readonly kind: SnapshotKind;
  readonly base: SnapshotId;
  readonly target: SnapshotId;
  readonly edits: Readonly<Record<string, readonly LineEdit[]>>;
}

/** Why applying a delta did not produce its target. */
export type DeltaError = "base_differs" | "edit_out_of_range" | "hash_differs";

/**
 * Maximum number of removed plus inserted lines in one text. Beyond it a full copy is as cheap, and computing the diff
 * becomes slow.
 */
const MAX_EDITED_LINES = 2_000;

/** Computes the delta between two snapshots; undefined if too much changed and a full copy is better. */
export function computeDelta<K extends SnapshotKind>(
  base: Snapshot<K>,
  target: Snapshot<K>,
): Delta | undefined {
  const edits: Record<string, readonly LineEdit[]> = {};
  const baseTexts: Readonly<Record<string, string>> = base.texts;
  for (const [name, text] of Object.entries(target.texts)) {
    const before = baseTexts[name] ?? "";
    if (before === text) continue;
    const edit = computeLineEdits(before, text);
    if (edit === undefined) return undefined;
    edits[name] = edit;
  }
  return { kind: base.kind, base: idOf(base), target: idOf(target), edits };
}

/** Applies a delta and verifies the content hash of the result. */
export function applyDelta<K extends SnapshotKind>(
  base: Snapshot<K>,
  delta: Delta,
): Result<Snapshot<K>, DeltaError> {
  if (base.revision !== delta.base.revision || base.hash !== delta.base.hash) {
    return Result.err("base_differs");
  }
  const texts: Record<string, string> = { ...base.texts };
  for (const [name, edits] of Object.entries(delta.edits)) {
    const text = applyLineEdits(texts[name] ?? "", edits);
    if (text === undefined) return Result.err("edit_out_of_range");
    texts[name] = text;
  }
  const result = texts as unknown as SnapshotTexts[K];
  if (contentHash(result) !== delta.target.hash) {
    return Result.err("hash_differs");
  }
  return Result.ok({ kind: base.kind, ...delta.target, texts: result });
}

function idOf(snapshot: SnapshotId): SnapshotId {
  return { revision: snapshot.revision, hash: snapshot.hash };
}

function computeLineEdits(
  before: string,
  after: string,
): readonly LineEdit[] | undefined {
  const changes = diffArrays(before.split("\n"), after.split("\n"), {
    maxEditLength: MAX_EDITED_LINES,
  });
  return changes?.map((change): LineEdit => {
    if (change.added) return { op: "insert", lines: change.value };
    return { op: change.removed ? "drop" : "keep", count: change.value.length };
  });
}

function applyLineEdits(
  text: string,
  edits: readonly LineEdit[],
): string | undefined {
  const before = text.split("\n");
  const after: string[] = [];
  let position = 0;
  for (const edit of edits) {
    if (edit.op === "insert") {
      for (const line of edit.lines) after.push(line);
      continue;
    }
    if (!Number.isInteger(edit.count) || edit.count < 0) return undefined;
    const end = position + edit.count;
    if (end > before.length) return undefined;
    if (edit.op === "keep") {
      for (const line of before.slice(position, end)) after.push(line);
    }
    position = end;
  }
  return position === before.length ? after.join("\n") : undefined;
}
