import type { Snapshot, SnapshotId, SnapshotKind } from "@tanagercove/types";
import { computeDelta, type Delta } from "./delta.ts";

/** What became of a snapshot that was offered to the store. */
export type OfferVerdict = "taken" | "same" | "older" | "conflict" | "refused";

/** A version that was refused as invalid. */
export interface RefusedVersion extends SnapshotId {
  /** The problems, with list and line. */
  readonly reason: string;
}

/** A change of the held snapshot. */
export interface SnapshotChange<K extends SnapshotKind> {
  readonly held: Snapshot<K>;
  /** Delta from the snapshot held before, where there is one. */
  readonly delta: Delta | undefined;
}

/** Counts of offers by verdict. */
export type OfferCounts = Readonly<Record<OfferVerdict, number>>;

/** Options of `SnapshotStore`. */
export interface SnapshotStoreOptions<K extends SnapshotKind> {
  readonly kind: K;
  /** Verdict on the content: undefined where it is valid, otherwise the reason. */
  readonly validate: (snapshot: Snapshot<K>) => string | undefined;
  /** Called after the held snapshot has been replaced. */
  readonly onChange?: (change: SnapshotChange<K>) => void;
  readonly onRefused?: (refused: RefusedVersion) => void;
  /** Deltas kept to answer daemons that are a little behind. */
  readonly maxDeltas?: number;
  /** Bytes of JSON that the kept deltas may have together. */
  readonly maxDeltaBytes?: number;
}

/** Options of `SnapshotStore.offer`. */
export interface OfferOptions {
  /** Delta from the snapshot held to the one offered, where the caller has applied it. */
  readonly delta?: Delta;
}

const MAX_REFUSED = 16;

/** Holds one snapshot whole and replaces it only by a valid one of a higher revision. */
export class SnapshotStore<K extends SnapshotKind> {
  readonly #options: SnapshotStoreOptions<K>;
  #held: Snapshot<K> | undefined;
  #deltas: { readonly delta: Delta; readonly sizeBytes: number }[] = [];
  #refused: RefusedVersion[] = [];
  #floor = 0;
  #counts: Record<OfferVerdict, number> = {
    taken: 0,
    same: 0,
    older: 0,
    conflict: 0,
    refused: 0,
  };

  constructor(options: SnapshotStoreOptions<K>) {
    this.#options = options;
  }

  get kind(): K {
    return this.#options.kind;
  }

  get held(): Snapshot<K> | undefined {
    return this.#held;
  }

  get refused(): readonly RefusedVersion[] {
    return this.#refused;
  }

  get counts(): OfferCounts {
    return { ...this.#counts };
  }

  /** Lowest revision that may be taken. */
  get floor(): number {
    return Math.max(this.#floor, this.#held?.revision ?? 0);
  }

  /** Lets no revision below this one be taken; lower floors have no effect. */
  raiseFloor(revision: number): void {
    this.#floor = Math.max(this.#floor, revision);
  }

  /** Takes the snapshot if it is valid and of a higher revision than the one held. */
  offer(snapshot: Snapshot<K>, options: OfferOptions = {}): OfferVerdict {
    const verdict = this.#judge(snapshot);
    this.#counts[verdict] += 1;
    if (verdict === "taken") this.#take(snapshot, options.delta);
    return verdict;
  }

  /** Tells whether this version was refused as invalid. */
  isRefused(snapshot: SnapshotId): boolean {
    return this.#refused.some((known) =>
      known.revision === snapshot.revision && known.hash === snapshot.hash
    );
  }

  /** Deltas that lead from `have` to the snapshot held, or undefined where they are not all kept. */
  deltasSince(have: SnapshotId): readonly Delta[] | undefined {
    const start = this.#deltas.findIndex(({ delta }) =>
      delta.base.revision === have.revision && delta.base.hash === have.hash
    );
    return start < 0
      ? undefined
      : this.#deltas.slice(start).map(({ delta }) => delta);
  }

  #judge(snapshot: Snapshot<K>): OfferVerdict {
    const held = this.#held;
    if (snapshot.revision < this.floor) return "older";
    if (held !== undefined && snapshot.revision === held.revision) {
      return snapshot.hash === held.hash ? "same" : "conflict";
    }
    if (this.isRefused(snapshot)) return "refused";
    const reason = this.#options.validate(snapshot);
    if (reason === undefined) return "taken";
    this.#refuse({ revision: snapshot.revision, hash: snapshot.hash, reason });
    return "refused";
  }

  #refuse(refused: RefusedVersion): void {
    this.#refused = [...this.#refused, refused].slice(-MAX_REFUSED);
    this.#options.onRefused?.(refused);
  }

  #take(snapshot: Snapshot<K>, known: Delta | undefined): void {
    const delta = known ?? (this.#held && computeDelta(this.#held, snapshot));
    this.#held = snapshot;
    this.#keepDelta(delta);
    this.#options.onChange?.({ held: snapshot, delta });
  }

  #keepDelta(delta: Delta | undefined): void {
    if (delta === undefined) {
      this.#deltas = [];
      return;
    }
    this.#deltas.push({ delta, sizeBytes: JSON.stringify(delta).length });
    const maxDeltas = this.#options.maxDeltas ?? 16;
    const maxBytes = this.#options.maxDeltaBytes ?? 256 * 1024;
    const total = () =>
      this.#deltas.reduce((sum, { sizeBytes }) => sum + sizeBytes, 0);
    while (this.#deltas.length > maxDeltas || total() > maxBytes) {
      this.#deltas.shift();
    }
  }
}
