import type { Route, RouteTarget } from "@tanagercove/types";

/**
 * Distributes the requests of each route over its targets by weight. Each request
 * goes to the target that is furthest below its share, so that the shares are
 * also met over short times; a random choice meets them only over thousands of
 * requests.
 */
export class TargetShares {
  readonly #sentByRoute = new WeakMap<Route, number[]>();

  /** Chooses the target service for the next request of a route. */
  nextService(route: Route): string {
    const { targets } = route;
    if (targets.length === 1) return targets[0]!.service;
    const sent = this.#sentByRoute.get(route) ?? randomInitialCounts(targets);
    this.#sentByRoute.set(route, sent);
    const chosen = furthestBelowShare(targets, sent);
    sent[chosen]! += 1;
    return targets[chosen]!.service;
  }
}

/** Random initial counts, so that daemons do not all start with the same target. */
function randomInitialCounts(targets: readonly RouteTarget[]): number[] {
  return targets.map(() => Math.random());
}

function furthestBelowShare(
  targets: readonly RouteTarget[],
  sent: readonly number[],
): number {
  let chosen = -1;
  let lowest = Infinity;
  for (const [i, { weight }] of targets.entries()) {
    if (weight <= 0) continue;
    const relativeCount = (sent[i]! + 0.5) / weight;
    if (relativeCount >= lowest) continue;
    lowest = relativeCount;
    chosen = i;
  }
  return Math.max(0, chosen);
}
