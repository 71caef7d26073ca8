import type { RouteConfiguration } from "@tanagercove/types";

/**
 * How room is given out while there is too little of it. `by_attempt`: each request is sent, and the owner daemons
 * decide. `by_knowledge`: the caller's daemon refuses what no upstream can serve in time as far as it knows, and the
 * owner daemons give each caller its share.
 */
export type RoomPolicy = "by_attempt" | "by_knowledge";

const policies = new WeakMap<RouteConfiguration, RoomPolicy>();

/**
 * Decides the policy by the configuration in force. Routes with large bodies call for `by_knowledge`: a request that is
 * sent and refused there costs its links as much as one that is served, and holds up the small requests beside it.
 */
export function decideRoomPolicy(
  configuration: RouteConfiguration | undefined,
): RoomPolicy {
  if (configuration === undefined) return "by_attempt";
  const known = policies.get(configuration);
  if (known !== undefined) return known;
  const hasLargeBodies = configuration.routes.some((route) =>
    route.hasLargeBodies === true
  );
  const policy = hasLargeBodies ? "by_knowledge" : "by_attempt";
  policies.set(configuration, policy);
  return policy;
}
