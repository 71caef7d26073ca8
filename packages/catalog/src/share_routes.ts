import type { RouteIndex } from "@tanagercove/routing";
import type { RouteConfiguration } from "@tanagercove/types";
import { isSameRoute } from "./is_same_route.ts";

/** A configuration that shares the routes which it has in common with the one before it. */
export interface SharedConfiguration {
  readonly configuration: RouteConfiguration;
  /** Number of routes of the former configuration that this one does not share. */
  readonly formerRoutesOnly: number;
}

/** Replaces the routes of a new configuration that are the same as before by those, so that they are in memory once. */
export function shareRoutes(
  configuration: RouteConfiguration,
  former: RouteIndex | undefined,
): SharedConfiguration {
  if (former === undefined) return { configuration, formerRoutesOnly: 0 };
  let sharedCount = 0;
  const routes = configuration.routes.map((route) => {
    const held = former.routesByHost.get(route.host)?.get(route.prefix);
    if (held === undefined || !isSameRoute(held, route)) return route;
    sharedCount += 1;
    return held;
  });
  const formerRoutesOnly = former.configuration.routes.length - sharedCount;
  return { configuration: { ...configuration, routes }, formerRoutesOnly };
}
