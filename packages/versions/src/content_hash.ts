import { createHash } from "node:crypto";
import type { Snapshot, SnapshotKind, SnapshotTexts } from "@tanagercove/types";

/** Hex SHA-256 of the names, lengths and contents of a snapshot's texts, ordered by name. */
export function contentHash(texts: SnapshotTexts[SnapshotKind]): string {
  const hash = createHash("sha256");
  for (
    const [name, text] of Object.entries(texts).sort(([a], [b]) =>
      a < b ? -1 : 1
    )
  ) {
    hash.update(`${name}:${Buffer.byteLength(text)}\n`).update(text);
  }
  return hash.digest("hex");
}

/** Options of `makeSnapshot`. */
export interface MakeSnapshotOptions<K extends SnapshotKind> {
  readonly kind: K;
  readonly revision: number;
  readonly texts: SnapshotTexts[K];
}

/** Creates a snapshot with its content hash. */
export function makeSnapshot<K extends SnapshotKind>(
  options: MakeSnapshotOptions<K>,
): Snapshot<K> {
  return { ...options, hash: contentHash(options.texts) };
}
