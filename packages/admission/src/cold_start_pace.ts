/** Length of the sliding window in which starts are counted. */
export const PACE_WINDOW_MS = 1_000;

/** Limits when requests start at an upstream, whatever slots are free. */
export interface StartPace {
  /** Number of requests that may start now. */
  available(nowMs: number): number;
  /** Time until this many more requests may have started. */
  delayMs(requestCount: number, nowMs: number): number;
  /** Records that a request is about to be sent; it counts from then on, whenever it is sent. */
  reserve(): void;
  /** Records that a reserved request is sent now. */
  send(nowMs: number): void;
  /** Takes a reservation back, since the request was not sent. */
  giveBack(): void;
}

/** Limit on the requests in any window of `PACE_WINDOW_MS`. */
export interface PaceLimit {
  readonly requestsPerSecond: number;
  /** Time at which the limit ends; undefined if that is not known. */
  readonly untilMs?: number | undefined;
  /** Requests that were sent before this time do not count; all count by default. */
  readonly countFromMs?: number;
}

/** Options of `ColdStartPace`. */
export interface ColdStartPaceOptions {
  /** The limit in force now; undefined for none. */
  readonly limitAt: (nowMs: number) => PaceLimit | undefined;
}

/**
 * Limits the requests to a cold upstream in any second by a log of the times at which they were sent.
 *
 * Answers the load after a restart in the middle of a burst: all that waits is sent at once, before it is known that the
 * upstream is cold. The log is kept without a limit too, so requests that were sent just before a limit began count. A
 * request whose send is still to come counts as sent now, so a daemon that is behind cannot send two seconds' share at
 * once.
 */
export class ColdStartPace implements StartPace {
  readonly #limitAt: (nowMs: number) => PaceLimit | undefined;
  readonly #sentAtMs: number[] = [];
  #reservedCount = 0;

  constructor({ limitAt }: ColdStartPaceOptions) {
    this.#limitAt = limitAt;
  }

  /** Requests that count now: those sent in the last second, and those about to be sent. */
  countRecent(nowMs: number): number {
    return this.#countedSince(nowMs).length + this.#reservedCount;
  }

  available(nowMs: number): number {
    const limit = this.#limitAt(nowMs);
    if (limit === undefined) return Infinity;
    return Math.max(0, limit.requestsPerSecond - this.countRecent(nowMs));
  }

  delayMs(requestCount: number, nowMs: number): number {
    const limit = this.#limitAt(nowMs);
    if (limit === undefined) return 0;
    const sentMs = this.#countedSince(nowMs);
    const reserved = new Array<number>(this.#reservedCount).fill(nowMs);
    const counted = [...sentMs, ...reserved];
    const mustLeave = counted.length + requestCount - limit.requestsPerSecond;
    if (mustLeave <= 0) return 0;
    const startMs = leavesAtMs(mustLeave, { counted, limit, nowMs });
    // Whole milliseconds, as timers have them: after a shorter time, the request might still have to wait.
    return Math.ceil(Math.min(startMs, limit.untilMs ?? Infinity) - nowMs);
  }

  reserve(): void {
    this.#reservedCount += 1;
  }

  send(nowMs: number): void {
    this.#reservedCount -= 1;
    while (this.#sentAtMs[0]! + PACE_WINDOW_MS <= nowMs) this.#sentAtMs.shift();
    this.#sentAtMs.push(nowMs);
  }

  giveBack(): void {
    this.#reservedCount -= 1;
  }

  /** Times at which the counted requests were sent, the oldest first. */
  #countedSince(nowMs: number): readonly number[] {
    const { countFromMs = -Infinity } = this.#limitAt(nowMs) ?? {};
    return this.#sentAtMs.filter((sentMs) =>
      sentMs + PACE_WINDOW_MS > nowMs && sentMs >= countFromMs
    );
  }
}

/** Time at which this many of the counted requests, and of those that start as soon as they may, have left the window. */
function leavesAtMs(
  count: number,
  { counted, limit: { requestsPerSecond }, nowMs }: {
    readonly counted: readonly number[];
    readonly limit: PaceLimit;
    readonly nowMs: number;
  },
): number {
  let index = count - 1;
  let startedLaterMs = PACE_WINDOW_MS;
  while (index >= Math.max(counted.length, requestsPerSecond)) {
    index -= requestsPerSecond;
    startedLaterMs += PACE_WINDOW_MS;
  }
  return (counted[index] ?? nowMs) + startedLaterMs;
}
