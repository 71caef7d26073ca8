import type { Clock, Random } from "./ports.ts";

/** A peer whose most recent exchanges with this daemon failed. */
export interface Suspicion {
  readonly peer: string;
  readonly failures: number;
  /** Time until the peer is no longer skipped; 0 if it is not skipped now. */
  readonly retryInMs: number;
}

/** Options of `Suspicions`. */
export interface SuspicionsOptions {
  readonly clock: Clock;
  readonly random: Random;
  /**
   * Backoff after the first failure, during which the peer is skipped; doubles with each further failure, up to
   * `maxBackoffMs`. Jitter shortens each backoff by up to half.
   */
  readonly firstBackoffMs?: number;
  readonly maxBackoffMs?: number;
}

/** Peers suspected to be down because exchanges of this daemon with them failed. */
export class Suspicions {
  readonly #options: SuspicionsOptions;
  readonly #byPeer = new Map<
    string,
    { readonly failures: number; readonly untilMs: number }
  >();

  constructor(options: SuspicionsOptions) {
    this.#options = options;
  }

  /** Records a failed exchange; true if it is the first one since the peer's last message. */
  recordFailure(peer: string): boolean {
    const { clock, random } = this.#options;
    const failures = (this.#byPeer.get(peer)?.failures ?? 0) + 1;
    const firstMs = this.#options.firstBackoffMs ?? 1_000;
    // A backoff longer than a few digest intervals (`digest_interval_ms`) would delay the recovery after a network
    // partition.
    const maxMs = this.#options.maxBackoffMs ?? 10_000;
    const backoffMs = Math.min(maxMs, firstMs * 2 ** (failures - 1));
    const untilMs = clock.nowMs() + backoffMs * (0.5 + random.next() / 2);
    this.#byPeer.set(peer, { failures, untilMs });
    return failures === 1;
  }

  /** Records a message from the peer, which ends the suspicion; true if exchanges had failed since the last message. */
  recordMessage(peer: string): boolean {
    return this.#byPeer.delete(peer);
  }

  /** Whether the peer should be skipped now. */
  has(peer: string): boolean {
    const suspicion = this.#byPeer.get(peer);
    return suspicion !== undefined &&
      this.#options.clock.nowMs() < suspicion.untilMs;
  }

  list(): readonly Suspicion[] {
    const nowMs = this.#options.clock.nowMs();
    return [...this.#byPeer].map(([peer, { failures, untilMs }]) => ({
      peer,
      failures,
      retryInMs: Math.max(0, Math.round(untilMs - nowMs)),
    }));
  }

  /** Removes the peers for which the predicate is false. */
  retain(isKnown: (peer: string) => boolean): void {
    for (const peer of this.#byPeer.keys()) {
      if (!isKnown(peer)) this.#byPeer.delete(peer);
    }
  }
}
