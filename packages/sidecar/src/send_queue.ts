/** Options of `SendQueue`. */
export interface SendQueueOptions {
  /** Whether the process handles events late. If not, requests are sent without a wait. */
  readonly isBehind: () => boolean;
  /** Requests that may be sent in one turn of the event loop. */
  readonly sendsPerTurn?: number;
}

const SENDS_PER_TURN = 4;

interface Entry {
  readonly turn: number;
  readonly resolve: () => void;
}

/**
 * Order in which requests are sent to upstreams and other daemons while the process is behind. Each waits until the
 * process has read what had arrived on its connections when the request joined. A daemon that is behind reads a request
 * and the close of its connection from the same backlog, in different turns of the event loop; a request that is sent at
 * once would reach an upstream although its caller has left. As few requests are sent in one turn, closes are also read
 * between them.
 */
export class SendQueue {
  readonly #isBehind: () => boolean;
  readonly #sendsPerTurn: number;
  readonly #entries: Entry[] = [];
  #turn = 0;
  #isScheduled = false;

  constructor({ isBehind, sendsPerTurn = SENDS_PER_TURN }: SendQueueOptions) {
    this.#isBehind = isBehind;
    this.#sendsPerTurn = sendsPerTurn;
  }

  /** Requests that wait to be sent. */
  get length(): number {
    return this.#entries.length;
  }

  /** Resolves when a request may be sent; the caller then checks whether it is still wanted. */
  wait(): Promise<void> {
    if (this.#entries.length === 0 && !this.#isBehind()) {
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      this.#entries.push({ turn: this.#turn, resolve });
      this.#schedule();
    });
  }

  #schedule(): void {
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    setImmediate(() => {
      this.#isScheduled = false;
      this.#release();
    });
  }

  /** Runs after the poll of a turn; entries that joined before that poll may go. */
  #release(): void {
    let released = 0;
    while (
      released < this.#sendsPerTurn && this.#entries.length > 0 &&
      this.#entries[0]!.turn < this.#turn
    ) {
      this.#entries.shift()!.resolve();
      released += 1;
    }
    this.#turn += 1;
    if (this.#entries.length > 0) this.#schedule();
  }
}
