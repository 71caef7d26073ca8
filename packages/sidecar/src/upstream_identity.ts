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
  readonly onLearnt?: (learnt: LearntIdentity) => void;
  /** Monotonic time in milliseconds. */
  readonly nowMs?: () => number;
}

/** The ids of an upstream that has restarted under another id. */
export interface LearntIdentity {
  readonly formerId: string;
  readonly id: string;
}

/** Minimum time between two fetches of the id, since each may take one of the upstream's slots. */
const MIN_FETCH_INTERVAL_MS = 200;

/**
 * Current id of this VM's upstream while the catalog still lists its former id.
 * After a power loss, upstreams restart with new ids seconds before their
 * entries are updated, and refuse all requests for the former ids. Only this
 * VM's daemon can reach the upstream, and it knows the service from its
 * settings, so it may replace the former id in requests for that service.
 */
export class UpstreamIdentity {
  readonly #options: UpstreamIdentityOptions;
  readonly #nowMs: () => number;
  #learnt: LearntIdentity | undefined;
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
    const learnt = this.#learnt;
    const isFormer = learnt?.formerId === upstreamId &&
      service === this.#options.service && this.#options.isUsable(learnt.id);
    return isFormer ? learnt.id : upstreamId;
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
    if (id === formerId) return this.#forget(formerId);
    if (!this.#options.isUsable(id)) return;
    if (this.#learnt?.formerId === formerId && this.#learnt.id === id) return;
    this.#learnt = { formerId, id };
    this.#options.onLearnt?.(this.#learnt);
  }

  /** Ends the replacement of an id under which the upstream has started again. */
  #forget(formerId: string): void {
    if (this.#learnt?.formerId !== formerId) return;
    const meanwhile = this.#learnt.id;
    this.#learnt = undefined;
    this.#options.onLearnt?.({ formerId: meanwhile, id: formerId });
  }
}
