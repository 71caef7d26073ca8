/** Weight of the newest time in the average: about the last 20 requests of a route. */
const WEIGHT = 0.1;

/** Expected until the first request of a route ends. */
const INITIAL_MS = 100;

/** Average times that the upstream takes, by route. */
export class RouteTimes {
  readonly #averageMs = new Map<string, number>();

  expectedMs(route: string): number {
    return this.#averageMs.get(route) ?? INITIAL_MS;
  }

  record(route: string, durationMs: number): void {
    const known = this.#averageMs.get(route);
    this.#averageMs.set(
      route,
      known === undefined ? durationMs : known + WEIGHT * (durationMs - known),
    );
  }
}
