import { validateLists } from "@tanagercove/lists";
import type { PlatformKey, SnapshotId } from "@tanagercove/types";
import { contentHash } from "@tanagercove/versions";

/** The platform's values as of one revision. */
export interface StoreState {
  readonly revision: number;
  readonly revisions: Readonly<Record<PlatformKey, number>>;
  readonly values: Readonly<Record<PlatformKey, string>>;
}

/** A published version of the two lists (plans and allowances). The VM list is not part of it. */
export interface PublishedVersion extends SnapshotId {
  readonly valid: boolean;
  /** Milliseconds of `performance.now()`. */
  readonly publishedAtMs: number;
}

/** Number of states kept; all but the newest are for stale answers. */
const MAX_STATES = 1_024;

/** Holds the values, their history and every version of the lists that was published. */
export class PlatformStore {
  #states: StoreState[];
  readonly #versions: PublishedVersion[] = [];

  constructor(values: Partial<Record<PlatformKey, string>> = {}) {
    this.#states = [{
      revision: 1,
      revisions: { plans: 1, allowances: 1, vms: 1 },
      values: { plans: "", allowances: "", vms: "", ...values },
    }];
    this.#recordVersion();
  }

  get state(): StoreState {
    return this.#states.at(-1)!;
  }

  /** Every version of the lists, in the order of publication. */
  get versions(): readonly PublishedVersion[] {
    return this.#versions;
  }

  /** Returns the state as of a revision, or the oldest state kept if the revision is older. */
  stateAt(revision: number): StoreState {
    return this.#states.findLast((state) => state.revision <= revision) ??
      this.#states[0]!;
  }

  /** Publishes one value under the next revision, which it returns. */
  publish(key: PlatformKey, value: string): number {
    const { revision: last, revisions, values } = this.state;
    const revision = last + 1;
    this.#states.push({
      revision,
      revisions: { ...revisions, [key]: revision },
      values: { ...values, [key]: value },
    });
    this.#states = this.#states.slice(-MAX_STATES);
    if (key !== "vms") this.#recordVersion();
    return revision;
  }

  /** Replaces a value without a new revision, as a faulty platform does. */
  replace(key: PlatformKey, value: string): void {
    const state = this.state;
    this.#states[this.#states.length - 1] = {
      ...state,
      values: { ...state.values, [key]: value },
    };
    if (key !== "vms") this.#recordVersion();
  }

  #recordVersion(): void {
    const { revisions, values } = this.state;
    const texts = { plans: values.plans, allowances: values.allowances };
    this.#versions.push({
      revision: Math.max(revisions.plans, revisions.allowances),
      hash: contentHash(texts),
      valid: validateLists(texts).isOk,
      publishedAtMs: performance.now(),
    });
  }
}
