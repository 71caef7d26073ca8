/** Weight of the newest sample in the average, which covers about the last 20 requests of a route. */
const NEWEST_SAMPLE_WEIGHT = 0.1;

/** Assumed until the first request of a route is answered. */
const INITIAL_SERVICE_MS = 100;

/** Average time that the upstream takes for a request, by route. */
export class RouteTimes {
  readonly #averageMs = new Map<string, number>();

  expectedMs(route: string): number {
    return this.#averageMs.get(route) ?? INITIAL_SERVICE_MS;
  }

  record(route: string, durationMs: number): void {
    const known = this.#averageMs.get(route);
    this.#averageMs.set(
      route,
      known === undefined
        ? durationMs
        : known + NEWEST_SAMPLE_WEIGHT * (durationMs - known),
    );
  }
}
