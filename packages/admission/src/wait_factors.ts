/** Options of `WaitFactors.record`. */
export interface RecordWaitOptions {
  readonly predictedMs: number;
  /** Time that the request waited; undefined if it was refused. */
  readonly waitedMs: number | undefined;
}

/** Weight of the newest wait in the average, which thus covers about the last ten. */
const NEWEST_WEIGHT = 0.2;

/** Smallest factor; a request that went before all others still waits for a slot. */
const MIN_FACTOR = 0.1;

/** Limit of the kinds kept; a configuration has at most a few thousand routes. */
const MAX_KINDS = 10_000;

/**
 * Learns how long the requests of this VM wait, relative to what the reported loads let expect.
 *
 * Answers the load of a service that one caller has filled: a load report counts all waiting requests, but those of a
 * VM within its share go before the others.
 */
export class WaitFactors {
  readonly #factors = new Map<string, number>();

  /** Factor for the predicted waits of a kind of request; at most 1. */
  factorOf(kind: string): number {
    return this.#factors.get(kind) ?? 1;
  }

  /** Records how long a request waited for which a wait was predicted. */
  record(kind: string, { predictedMs, waitedMs }: RecordWaitOptions): void {
    if (predictedMs <= 0) return;
    const share = waitedMs === undefined ? 1 : waitedMs / predictedMs;
    const newest = Math.min(1, Math.max(MIN_FACTOR, share));
    const known = this.factorOf(kind);
    if (this.#factors.size >= MAX_KINDS) this.#factors.clear();
    this.#factors.set(kind, known + NEWEST_WEIGHT * (newest - known));
  }
}
