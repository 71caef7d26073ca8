import type {
  CallerLimits,
  Route,
  RouteConfiguration,
  ServiceDefinition,
} from "@tanagercove/types";
import { isSameRoute } from "./is_same_route.ts";

/** Difference between a version of the configuration and a later one. */
export interface ConfigurationDelta {
  readonly fromVersion: number;
  readonly version: number;
  /** Routes that are new or changed. */
  readonly changed: readonly Route[];
  /** Keys of removed routes: host and prefix, concatenated. */
  readonly removed: readonly string[];
  readonly services: readonly ServiceDefinition[];
  readonly limits: CallerLimits;
}

/** Options of `diffConfigurations`. */
export interface DiffConfigurationsOptions {
  readonly from: RouteConfiguration;
  readonly to: RouteConfiguration;
}

/** Computes the delta between two versions. */
export function diffConfigurations(
  { from, to }: DiffConfigurationsOptions,
): ConfigurationDelta {
  const previous = new Map(
    from.routes.map((route) => [routeKeyOf(route), route]),
  );
  const changed: Route[] = [];
  for (const route of to.routes) {
    const key = routeKeyOf(route);
    const former = previous.get(key);
    if (former === undefined || !isSameRoute(former, route)) {
      changed.push(route);
    }
    previous.delete(key);
  }
  return {
    fromVersion: from.version,
    version: to.version,
    changed,
    removed: [...previous.keys()],
    services: to.services,
    limits: to.limits,
  };
}

/** Applies a delta to its base version. */
export function applyConfigurationDelta(
  from: RouteConfiguration,
  delta: ConfigurationDelta,
): RouteConfiguration {
  const replaced = new Set([
    ...delta.removed,
    ...delta.changed.map(routeKeyOf),
  ]);
  const kept = from.routes.filter((route) => !replaced.has(routeKeyOf(route)));
  return {
    version: delta.version,
    routes: [...kept, ...delta.changed],
    services: delta.services,
    limits: delta.limits,
  };
}

/** Identifies a route by host and prefix; its name may change between versions. */
function routeKeyOf({ host, prefix }: Route): string {
  return host + prefix;
}
