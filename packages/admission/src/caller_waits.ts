/** Routes remembered; a configuration has at most a few thousand. */
const MAX_ROUTES = 10_000;

/**
 * Tells how long a caller has been waiting already. A caller that returns after
 * a refusal sends the time it has left, so less than the longest time seen on
 * the route shows how long ago its first attempt was.
 *
 * Answers callers that return under load: their first attempt, not the last,
 * decides whether an answer still has its full value.
 */
export class CallerWaits {
  readonly #longestMs = new Map<string, number>();

  /** Time since the caller's first attempt. */
  waitedMs(route: string, timeLeftMs: number): number {
    const longestMs = this.#longestMs.get(route) ?? 0;
    if (timeLeftMs <= longestMs) return longestMs - timeLeftMs;
    if (this.#longestMs.size >= MAX_ROUTES) this.#longestMs.clear();
    this.#longestMs.set(route, timeLeftMs);
    return 0;
  }
}
