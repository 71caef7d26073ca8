import type { Clock, Random } from "./ports.ts";

/** A peer whose last exchanges with this daemon failed. */
export interface Suspicion {
  readonly peer: string;
  readonly failures: number;
  /** Time until it is chosen again. */
  readonly retryInMs: number;
}

/** Options of `Suspicions`. */
export interface SuspicionsOptions {
  readonly clock: Clock;
  readonly random: Random;
  /** Time for which a peer is not chosen after its first failure; doubles with each further one. */
  readonly firstBackoffMs?: number;
  readonly maxBackoffMs?: number;
}

/** Peers suspected because of this daemon's own failed exchanges. */
export class Suspicions {
  readonly #options: SuspicionsOptions;
  readonly #byPeer = new Map<
    string,
    { readonly failures: number; readonly untilMs: number }
  >();

  constructor(options: SuspicionsOptions) {
    this.#options = options;
  }

  /** Notes a failed exchange; true where the peer was not suspected before. */
  failed(peer: string): boolean {
    const { clock, random } = this.#options;
    const failures = (this.#byPeer.get(peer)?.failures ?? 0) + 1;
    const firstMs = this.#options.firstBackoffMs ?? 1_000;
    // Longer than a few digest intervals would delay the recovery after a partition.
    const maxMs = this.#options.maxBackoffMs ?? 10_000;
    const backoffMs = Math.min(maxMs, firstMs * 2 ** (failures - 1));
    const untilMs = clock.nowMs() + backoffMs * (0.5 + random.next() / 2);
    this.#byPeer.set(peer, { failures, untilMs });
    return failures === 1;
  }

  /** Notes a message from the peer; true where it was suspected. */
  heard(peer: string): boolean {
    return this.#byPeer.delete(peer);
  }

  /** Tells whether the peer is to be passed over now. */
  has(peer: string): boolean {
    const known = this.#byPeer.get(peer);
    return known !== undefined && this.#options.clock.nowMs() < known.untilMs;
  }

  list(): readonly Suspicion[] {
    const nowMs = this.#options.clock.nowMs();
    return [...this.#byPeer].map(([peer, { failures, untilMs }]) => ({
      peer,
      failures,
      retryInMs: Math.max(0, Math.round(untilMs - nowMs)),
    }));
  }

  /** Forgets the peers that the predicate does not name. */
  retain(isKnown: (peer: string) => boolean): void {
    for (const peer of this.#byPeer.keys()) {
      if (!isKnown(peer)) this.#byPeer.delete(peer);
    }
  }
}
