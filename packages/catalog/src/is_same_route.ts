import type { Route, RouteTarget } from "@tanagercove/types";

type Comparers<T> = {
  readonly [K in keyof T]-?: (a: T[K], b: T[K]) => boolean;
};

const COMPARERS: Comparers<Route> = {
  name: Object.is,
  host: Object.is,
  prefix: Object.is,
  requestClass: Object.is,
  latencyObjectiveMs: Object.is,
  priority: Object.is,
  targets: haveSameTargets,
  timeoutMs: Object.is,
  maxAttempts: Object.is,
  hasLargeBodies: (a, b) => (a ?? false) === (b ?? false),
};

const TARGET_COMPARERS: Comparers<RouteTarget> = {
  service: Object.is,
  weight: Object.is,
};

const FIELDS = Object.keys(COMPARERS) as readonly (keyof Route)[];
const TARGET_FIELDS = Object.keys(
  TARGET_COMPARERS,
) as readonly (keyof RouteTarget)[];

/** Whether two routes are the same in all fields. */
export function isSameRoute(a: Route, b: Route): boolean {
  // A delta keeps the objects of unchanged routes.
  return a === b ||
    FIELDS.every((field) =>
      COMPARERS[field](a[field] as never, b[field] as never)
    );
}

function haveSameTargets(
  a: readonly RouteTarget[],
  b: readonly RouteTarget[],
): boolean {
  return a.length === b.length &&
    a.every((target, i) =>
      TARGET_FIELDS.every((field) =>
        TARGET_COMPARERS[field](target[field] as never, b[i]![field] as never)
      )
    );
}
