/** Number of last runs that the usual time of a route covers. */
const USUAL_RUNS = 512;

/** Runs after which the usual time of a route is known well enough to compare others with it. */
const KNOWN_AFTER_RUNS = 8;

/** Shortest time that is told from another one; shorter ones are timer noise. */
const MIN_TIME_MS = 0.1;

/** Routes whose times are kept; further ones replace those that were first seen. */
const MAX_ROUTES = 256;

interface UsualTime {
  logMs: number;
  runs: number;
}

/**
 * The time that an upstream usually works on a request, by route. The logarithms are averaged, so that a few long
 * requests hardly change it.
 */
export class UsualTimes {
  readonly #byRoute = new Map<string, UsualTime>();

  /**
   * Records a run and returns the logarithm of its time relative to the usual time of its route; undefined while that
   * is not known. `expectedLogFactor` is the part of it that is explained already.
   */
  record(
    route: string,
    { workMs, expectedLogFactor }: {
      readonly workMs: number;
      readonly expectedLogFactor: number;
    },
  ): number | undefined {
    const logMs = Math.log(Math.max(MIN_TIME_MS, workMs));
    const adjusted = logMs - expectedLogFactor;
    const known = this.#byRoute.get(route);
    if (known === undefined) {
      this.#byRoute.set(route, { logMs: adjusted, runs: 1 });
      this.#dropOldest();
      return undefined;
    }
    const deviation = logMs - known.logMs;
    known.runs = Math.min(USUAL_RUNS, known.runs + 1);
    known.logMs += (adjusted - known.logMs) / known.runs;
    return known.runs > KNOWN_AFTER_RUNS ? deviation : undefined;
  }

  #dropOldest(): void {
    if (this.#byRoute.size <= MAX_ROUTES) return;
    const [oldest] = this.#byRoute.keys();
    this.#byRoute.delete(oldest!);
  }

  /** Usual time of a route; undefined before its first run. */
  usualMs(route: string): number | undefined {
    const known = this.#byRoute.get(route);
    return known && Math.exp(known.logMs);
  }
}
