import type {
  Route,
  RouteConfiguration,
  ServiceDefinition,
} from "@tanagercove/types";

/** Lookup index of a configuration. Immutable; a request uses the same index until it ends. */
export interface RouteIndex {
  readonly configuration: RouteConfiguration;
  readonly services: ReadonlyMap<string, ServiceDefinition>;
  readonly routesByHost: ReadonlyMap<string, ReadonlyMap<string, Route>>;
}

/** Computes the index of a configuration. */
export function computeRouteIndex(
  configuration: RouteConfiguration,
): RouteIndex {
  const routesByHost = new Map<string, Map<string, Route>>();
  for (const route of configuration.routes) {
    const routes = routesByHost.get(route.host) ?? new Map<string, Route>();
    routes.set(route.prefix, route);
    routesByHost.set(route.host, routes);
  }
  return {
    configuration,
    services: new Map(
      configuration.services.map((service) => [service.name, service]),
    ),
    routesByHost,
  };
}

/** Fields of a request that select its route. */
export interface RouteQuery {
  /** Value of the Host header, with or without a port. */
  readonly host: string;
  /** Path, with or without a query. */
  readonly path: string;
}

/** Finds, among the routes of the host, the one with the longest prefix of the path. */
export function matchRoute(
  index: RouteIndex,
  { host, path }: RouteQuery,
): Route | undefined {
  const routes = index.routesByHost.get(hostName(host));
  if (routes === undefined) return undefined;
  const queryAt = path.indexOf("?");
  let end = queryAt < 0 ? path.length : queryAt;
  for (;;) {
    const slash = path.lastIndexOf("/", end - 1);
    if (slash < 0) return undefined;
    const route = routes.get(path.slice(0, slash + 1));
    if (route !== undefined || slash === 0) return route;
    end = slash;
  }
}

function hostName(host: string): string {
  const colon = host.lastIndexOf(":");
  const name = colon < 0 ? host : host.slice(0, colon);
  return name.toLowerCase();
}
