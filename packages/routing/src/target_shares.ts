import type { Route, RouteTarget } from "@tanagercove/types";

/**
 * Spreads the requests of routes over their targets by weight. Each request
 * goes to the target that is furthest below its share, so that the shares hold
 * over short times too, which random choice only reaches over thousands.
 */
export class TargetShares {
  readonly #sentByRoute = new WeakMap<Route, number[]>();

  /** Chooses the service of the next request of a route. */
  nextService(route: Route): string {
    const { targets } = route;
    if (targets.length === 1) return targets[0]!.service;
    const sent = this.#sentByRoute.get(route) ?? startingCounts(targets);
    this.#sentByRoute.set(route, sent);
    const chosen = furthestBelowShare(targets, sent);
    sent[chosen]! += 1;
    return targets[chosen]!.service;
  }
}

/** Random start, so that many daemons do not all begin with the same target. */
function startingCounts(targets: readonly RouteTarget[]): number[] {
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
    const filled = (sent[i]! + 0.5) / weight;
    if (filled >= lowest) continue;
    lowest = filled;
    chosen = i;
  }
  return Math.max(0, chosen);
}
