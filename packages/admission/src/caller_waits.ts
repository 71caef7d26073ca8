/** Limit of the routes kept; a configuration has at most a few thousand. */
const MAX_ROUTES = 10_000;

/**
 * Estimates how long a caller has already been waiting. A caller that retries
 * after a refusal sends the time left until its deadline. The time since its first
 * attempt is estimated as the difference to the longest time left seen on the
 * route, as if every caller of the route started with that much time.
 *
 * Under load many callers retry, and whether an answer still has its full value
 * depends on the time since the first attempt, not the last one.
 */
export class CallerWaits {
  readonly #longestMs = new Map<string, number>();

  /** Estimated time since the caller's first attempt. */
  waitedMs(route: string, timeLeftMs: number): number {
    const longestMs = this.#longestMs.get(route) ?? 0;
    if (timeLeftMs <= longestMs) return longestMs - timeLeftMs;
    if (this.#longestMs.size >= MAX_ROUTES) this.#longestMs.clear();
    this.#longestMs.set(route, timeLeftMs);
    return 0;
  }
}
