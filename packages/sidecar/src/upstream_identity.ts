/** Options of `UpstreamIdentity`. */
export interface UpstreamIdentityOptions {
  /** Service that this VM's upstream belongs to, from the settings. */
  readonly service: string;
  /** Asks the upstream for its id; undefined if it gives none or is not healthy. */
  readonly askId: () => Promise<string | undefined>;
  /** Whether an id may be used; the catalog may say that it leaves, or is of another service. */
  readonly isUsable: (id: string) => boolean;
  readonly onLearnt?: (learnt: LearntIdentity) => void;
  /** Monotonic time in milliseconds. */
  readonly nowMs?: () => number;
}

/** An upstream that has started again under another id. */
export interface LearntIdentity {
  readonly formerId: string;
  readonly id: string;
}

/** Pause between questions to the upstream, each of which may need one of its slots. */
const ASK_INTERVAL_MS = 200;

/**
 * Id of this VM's upstream while the catalog still lists a former one. After a
 * loss of power, upstreams are back with new ids seconds before their entries
 * are, and refuse all requests for the former ids. Only this VM's daemon can
 * reach the upstream and knows its service from the settings, so a request for
 * the service may be given the upstream's current id in place of the former.
 */
export class UpstreamIdentity {
  readonly #options: UpstreamIdentityOptions;
  readonly #nowMs: () => number;
  #learnt: LearntIdentity | undefined;
  #isAsking = false;
  #askAgainAtMs = -Infinity;

  constructor(options: UpstreamIdentityOptions) {
    this.#options = options;
    this.#nowMs = options.nowMs ?? (() => performance.now());
  }

  /** Id to send with a request that was placed on an upstream of this VM. */
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

  /** Asks the upstream for its id after it has refused a request for `formerId`. */
  async noteRefused(formerId: string): Promise<void> {
    const nowMs = this.#nowMs();
    if (this.#isAsking || nowMs < this.#askAgainAtMs) return;
    this.#isAsking = true;
    this.#askAgainAtMs = nowMs + ASK_INTERVAL_MS;
    const id = await this.#options.askId();
    this.#isAsking = false;
    if (id === undefined || id === formerId) return;
    if (!this.#options.isUsable(id)) return;
    if (this.#learnt?.formerId === formerId && this.#learnt.id === id) return;
    this.#learnt = { formerId, id };
    this.#options.onLearnt?.(this.#learnt);
  }
}
