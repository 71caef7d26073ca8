import type {
  CallerLimits,
  Route,
  RouteConfiguration,
  ServiceDefinition,
} from "@tanagercove/types";

/** What turns one version of the routes into a later one. */
export interface ConfigurationDelta {
  readonly fromVersion: number;
  readonly version: number;
  /** Routes that are new or differ. */
  readonly changed: readonly Route[];
  /** Host and prefix of routes that are gone, joined. */
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
  const before = new Map(
    from.routes.map((route) => [placeOf(route), JSON.stringify(route)]),
  );
  const changed: Route[] = [];
  for (const route of to.routes) {
    const place = placeOf(route);
    if (before.get(place) !== JSON.stringify(route)) changed.push(route);
    before.delete(place);
  }
  return {
    fromVersion: from.version,
    version: to.version,
    changed,
    removed: [...before.keys()],
    services: to.services,
    limits: to.limits,
  };
}

/** Applies a delta to the version that it starts from. */
export function applyConfigurationDelta(
  from: RouteConfiguration,
  delta: ConfigurationDelta,
): RouteConfiguration {
  const replaced = new Set([...delta.removed, ...delta.changed.map(placeOf)]);
  const kept = from.routes.filter((route) => !replaced.has(placeOf(route)));
  return {
    version: delta.version,
    routes: [...kept, ...delta.changed],
    services: delta.services,
    limits: delta.limits,
  };
}

/** Host and prefix together name a route, whatever its name is. */
function placeOf({ host, prefix }: Route): string {
  return host + prefix;
}
