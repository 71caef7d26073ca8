import type { Snapshot, SnapshotId, SnapshotKind } from "@tanagercove/types";
import { computeDelta, type Delta } from "./delta.ts";

/**
 * Result of offering a snapshot to the store.
 *
 * - `taken`: it has replaced the held one.
 * - `same`: it is the held one.
 * - `older`: its revision is lower than `SnapshotStore.floor`.
 * - `conflict`: it has the revision of the held one but other content.
 * - `refused`: its content is invalid.
 */
export type OfferVerdict = "taken" | "same" | "older" | "conflict" | "refused";

/** A snapshot version that was refused as invalid. */
export interface RefusedVersion extends SnapshotId {
  /** The problems found, with list and line. */
  readonly reason: string;
}

/** A change of the held snapshot. */
export interface SnapshotChange<K extends SnapshotKind> {
  readonly held: Snapshot<K>;
  /** Delta from the previously held snapshot; undefined if there was none or too much changed. */
  readonly delta: Delta | undefined;
}

/** Number of offers by verdict. */
export type OfferCounts = Readonly<Record<OfferVerdict, number>>;

/** Options of `SnapshotStore`. */
export interface SnapshotStoreOptions<K extends SnapshotKind> {
  readonly kind: K;
  /** Returns why the content is invalid, or undefined if it is valid. */
  readonly validate: (snapshot: Snapshot<K>) => string | undefined;
  /** Called after the held snapshot has been replaced. */
  readonly onChange?: (change: SnapshotChange<K>) => void;
  readonly onRefused?: (refused: RefusedVersion) => void;
  /** Maximum number of deltas kept for daemons that are a few revisions behind. */
  readonly maxDeltas?: number;
  /** Maximum total size of the kept deltas, measured as the length of their JSON. */
  readonly maxDeltaBytes?: number;
}

/** Options of `SnapshotStore.offer`. */
export interface OfferOptions {
  /** Delta that produced the offered snapshot from the held one, if the caller received one. */
  readonly delta?: Delta;
}

const MAX_REFUSED = 16;

/** Holds one complete snapshot and replaces it only with a valid one of a higher revision. */
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

  /** Revision below which an offer is `older`: the held one or the one set by `raiseFloor`, whichever is higher. */
  get floor(): number {
    return Math.max(this.#floor, this.#held?.revision ?? 0);
  }

  /** Sets the minimum revision that may be taken; a lower value than the current one has no effect. */
  raiseFloor(revision: number): void {
    this.#floor = Math.max(this.#floor, revision);
  }

  /** Replaces the held snapshot if the offered one is valid, has a higher revision and is not below the floor. */
  offer(snapshot: Snapshot<K>, options: OfferOptions = {}): OfferVerdict {
    const verdict = this.#decideOffer(snapshot);
    this.#counts[verdict] += 1;
    if (verdict === "taken") this.#replaceHeld(snapshot, options.delta);
    return verdict;
  }

  /** Whether this version was refused as invalid. */
  isRefused(snapshot: SnapshotId): boolean {
    return this.#refused.some((refused) =>
      refused.revision === snapshot.revision && refused.hash === snapshot.hash
    );
  }

  /** Deltas that lead from `have` to the held snapshot; undefined if not all are kept or `have` is the held one. */
  deltasSince(have: SnapshotId): readonly Delta[] | undefined {
    const start = this.#deltas.findIndex(({ delta }) =>
      delta.base.revision === have.revision && delta.base.hash === have.hash
    );
    return start < 0
      ? undefined
      : this.#deltas.slice(start).map(({ delta }) => delta);
  }

  #decideOffer(snapshot: Snapshot<K>): OfferVerdict {
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

  #replaceHeld(snapshot: Snapshot<K>, receivedDelta: Delta | undefined): void {
    const delta = receivedDelta ??
      (this.#held && computeDelta(this.#held, snapshot));
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
