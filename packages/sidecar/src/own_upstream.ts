import type { Endpoint, UpstreamEntry } from "@tanagercove/types";

/** Options of `OwnUpstream`. */
export interface OwnUpstreamOptions {
  /** Service of this VM's upstream, from the settings. */
  readonly service: string;
  /** Address of this VM's upstream, from the settings. */
  readonly upstream: Endpoint;
}

/** What has changed for this VM's upstream. */
export type OwnUpstreamChange =
  /** Its entry is another one, or has a new value. */
  | { readonly kind: "entry_changed"; readonly entry: UpstreamEntry }
  /** Its entry is gone, so that it is leaving. */
  | { readonly kind: "left" };

/** What tells the entry of an upstream from others with its address. */
export interface OwnEntryEvidence {
  /** Id that the upstream has told. */
  readonly reportedId?: string | undefined;
  /** Whether the upstream may have started again since it told its id. */
  readonly isDoubted?: boolean;
  /** Entry of the upstream that has been removed; those of its earlier starts may still be there. */
  readonly departed?: UpstreamEntry | undefined;
}

/**
 * Chooses the entry of an upstream among those of its service with its address, whatever their order: the one with the id
 * that the upstream has told, or else that of the latest start. While the told id is doubted, the latest start counts
 * unless it would stop the work of an upstream whose own entry is ready.
 */
export function chooseOwnEntry(
  entries: readonly UpstreamEntry[],
  { reportedId, isDoubted = false, departed }: OwnEntryEvidence = {},
): UpstreamEntry | undefined {
  const reported = entries.find(({ id }) => id === reportedId);
  const [latest] = entries.filter(({ id, bornMs }) =>
    departed === undefined || id === departed.id || bornMs >= departed.bornMs
  ).toSorted(compareStarts);
  const isReplaced = isDoubted && latest !== undefined &&
    (latest.state === "ready" || reported?.state === "draining");
  return isReplaced ? latest : reported ?? latest;
}

/** Puts the latest start first; of two at the same time, the one that does not stop the work at the upstream. */
function compareStarts(a: UpstreamEntry, b: UpstreamEntry): number {
  return b.bornMs - a.bornMs ||
    Number(a.state === "draining") - Number(b.state === "draining") ||
    (a.id < b.id ? -1 : 1);
}

/**
 * Knows which entry of the catalog is that of this VM's upstream. Another writer may add entries with its address, under
 * other ids and services, and entries of its earlier starts stay for a while.
 */
export class OwnUpstream {
  readonly #options: OwnUpstreamOptions;
  /** Entries of the service with the address of the upstream, by id. */
  readonly #candidates = new Map<string, UpstreamEntry>();
  /** Ids of entries of other services with its address. */
  readonly #otherServices = new Set<string>();
  #entry: UpstreamEntry | undefined;
  /** Whether `#entry` is in the catalog. */
  #isPresent = false;
  #reportedId: string | undefined;
  #isDoubted = false;
  #departed: UpstreamEntry | undefined;

  constructor(options: OwnUpstreamOptions) {
    this.#options = options;
  }

  /** The entry of the upstream, also after its removal; undefined before the first one. */
  get entry(): UpstreamEntry | undefined {
    return this.#entry;
  }

  /** Number of entries with the address of the upstream, its own included. */
  get entriesAtAddress(): number {
    return this.#candidates.size + this.#otherServices.size;
  }

  /** Whether the upstream has to tell its id before it is known which entry is its own. */
  get isAmbiguous(): boolean {
    const { size } = this.#candidates;
    const isTold = !this.#isDoubted &&
      this.#candidates.has(this.#reportedId ?? "");
    return (this.#isPresent ? size > 1 : size > 0) && !isTold;
  }

  /** Whether an entry has the address of the upstream and is not its own. */
  isOther({ id, address, port }: UpstreamEntry): boolean {
    const { upstream } = this.#options;
    return address === upstream.address && port === upstream.port &&
      id !== this.#entry?.id;
  }

  /** Whether the upstream had this id and its entry is gone. */
  hasLeft(id: string): boolean {
    return id === this.#departed?.id;
  }

  /** Id of the upstream, if it has told that it is another one than that of an entry with its address. */
  idInPlaceOf(id: string): string | undefined {
    const reportedId = this.#reportedId;
    const isKnown = reportedId !== undefined && id !== reportedId &&
      !this.#isDoubted && this.#candidates.has(id) &&
      this.#candidates.has(reportedId);
    return isKnown ? reportedId : undefined;
  }

  /** Records a value of the catalog; undefined if nothing has changed for the upstream. */
  take(entry: UpstreamEntry): OwnUpstreamChange | undefined {
    const { service, upstream } = this.#options;
    const isAtAddress = entry.address === upstream.address &&
      entry.port === upstream.port;
    if (!isAtAddress) return this.remove(entry.id);
    if (entry.service !== service) {
      const change = this.remove(entry.id);
      this.#otherServices.add(entry.id);
      return change;
    }
    this.#otherServices.delete(entry.id);
    const former = this.#candidates.get(entry.id);
    this.#candidates.set(entry.id, entry);
    const isStart = former?.bornMs !== entry.bornMs;
    if (isStart && entry.id !== this.#reportedId) this.#isDoubted = true;
    return this.#choose(entry.id);
  }

  /** Records that an entry was removed from the catalog. */
  remove(id: string): OwnUpstreamChange | undefined {
    this.#otherServices.delete(id);
    const removed = this.#candidates.get(id);
    this.#candidates.delete(id);
    if (removed === undefined || id !== this.#entry?.id) return undefined;
    this.#departed = removed;
    this.#isPresent = false;
    return this.#choose() ?? { kind: "left" };
  }

  /** Records the id that the upstream tells of itself. */
  recordReportedId(id: string): OwnUpstreamChange | undefined {
    this.#reportedId = id;
    this.#isDoubted = false;
    return this.#choose();
  }

  /** Chooses the entry anew; `changedId` is that of the entry whose value has changed. */
  #choose(changedId?: string): OwnUpstreamChange | undefined {
    const chosen = chooseOwnEntry([...this.#candidates.values()], {
      reportedId: this.#reportedId,
      isDoubted: this.#isDoubted,
      departed: this.#departed,
    });
    if (chosen === undefined) return undefined;
    const isSame = this.#isPresent && chosen.id === this.#entry?.id;
    if (isSame && chosen.id !== changedId) return undefined;
    if (chosen.id === this.#departed?.id) this.#departed = undefined;
    this.#entry = chosen;
    this.#isPresent = true;
    return { kind: "entry_changed", entry: chosen };
  }
}
