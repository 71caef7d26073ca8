/** Options of `UpstreamIdentity`. */
export interface UpstreamIdentityOptions {
  /** Service that this VM's upstream belongs to, from the settings. */
  readonly service: string;
  /** Fetches the upstream's id; undefined if the answer has none or the upstream is not healthy. */
  readonly fetchId: () => Promise<string | undefined>;
  /**
   * Whether requests may be sent to this id; false if the catalog lists it as draining or under another service, or if
   * the daemon is stopping.
   */
  readonly isUsable: (id: string) => boolean;
  /** Id that the upstream has told, if an entry with its address and another id is known not to be its own. */
  readonly idInPlaceOf?: (id: string) => string | undefined;
  readonly onLearnt?: (learnt: LearntIdentity) => void;
  /** Monotonic time in milliseconds. */
  readonly nowMs?: () => number;
}

/** The ids of an upstream that has restarted under another id. */
export interface LearntIdentity {
  readonly formerId: string;
  readonly id: string;
}

/** Limit on the ids that are replaced; beyond it, the first one is sent as it is again. */
const MAX_FORMER_IDS = 256;

/** Minimum time between two fetches of the id, since each may take one of the upstream's slots. */
const MIN_FETCH_INTERVAL_MS = 200;

/**
 * Current id of this VM's upstream while the catalog still lists others for its
 * address: its former id, or those of another writer's entries.
 * After a power loss, upstreams restart with new ids seconds before their
 * entries are updated, and refuse all requests for the former ids. Only this
 * VM's daemon can reach the upstream, and it knows the service from its
 * settings, so it may replace the former id in requests for that service.
 */
export class UpstreamIdentity {
  readonly #options: UpstreamIdentityOptions;
  readonly #nowMs: () => number;
  /** Ids that the upstream has refused, and in place of which `#id` is sent. */
  readonly #formerIds = new Set<string>();
  #id: string | undefined;
  #isFetching = false;
  #nextFetchAtMs = -Infinity;

  constructor(options: UpstreamIdentityOptions) {
    this.#options = options;
    this.#nowMs = options.nowMs ?? (() => performance.now());
  }

  /** Id to send with a request that was routed to an upstream of this VM. */
  idFor(
    { upstreamId, service }: {
      readonly upstreamId: string;
      readonly service: string;
    },
  ): string {
    const { idInPlaceOf, isUsable } = this.#options;
    if (service !== this.#options.service) return upstreamId;
    const learntId = this.#formerIds.has(upstreamId) ? this.#id : undefined;
    const id = learntId ?? idInPlaceOf?.(upstreamId);
    return id !== undefined && isUsable(id) ? id : upstreamId;
  }

  /**
   * Fetches the upstream's id after the upstream has refused a request for `formerId`. Does nothing during a fetch, or
   * within `MIN_FETCH_INTERVAL_MS` of its start.
   */
  async refetchAfterRefusal(formerId: string): Promise<void> {
    const nowMs = this.#nowMs();
    if (this.#isFetching || nowMs < this.#nextFetchAtMs) return;
    this.#isFetching = true;
    this.#nextFetchAtMs = nowMs + MIN_FETCH_INTERVAL_MS;
    const id = await this.#options.fetchId();
    this.#isFetching = false;
    if (id === undefined) return;
    if (id === formerId) return this.#returnTo(id);
    if (!this.#options.isUsable(id)) return;
    if (this.#formerIds.has(formerId) && this.#id === id) return;
    this.#learn(formerId, id);
  }

  #learn(formerId: string, id: string): void {
    this.#id = id;
    this.#formerIds.delete(id);
    this.#formerIds.add(formerId);
    const [first] = this.#formerIds;
    if (this.#formerIds.size > MAX_FORMER_IDS) this.#formerIds.delete(first!);
    this.#options.onLearnt?.({ formerId, id });
  }

  /** Takes an id for the current one again under which the upstream has started once more. */
  #returnTo(id: string): void {
    if (!this.#formerIds.has(id)) return;
    this.#learn(this.#id!, id);
  }
}
