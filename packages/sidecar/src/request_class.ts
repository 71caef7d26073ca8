import { matchRoute, type RouteIndex } from "@tanagercove/routing";
import type { RequestClass } from "@tanagercove/types";
import type { OwnedRequest } from "./owner.ts";

/** Options of `decideRequestClass`. */
export interface DecideRequestClassOptions {
  /** Class by the route that the request got when it arrived. */
  readonly routed: RequestClass;
  /** Class by the route that the configuration in force gives it now; undefined if it gives none. */
  readonly current: RequestClass | undefined;
  /** Whether the configuration in force is the newest one that must be, as far as this daemon can know. */
  readonly isConfigurationCurrent: boolean;
}

/**
 * Decides whether a request may be sent again after an upstream may have run it. A newer version may have a longer prefix
 * for it whose requests must not be repeated, whatever their method is.
 */
export function decideRequestClass(
  { routed, current, isConfigurationCurrent }: DecideRequestClassOptions,
): RequestClass {
  const isIdempotent = routed === "idempotent" && current !== "non_idempotent";
  return isIdempotent && isConfigurationCurrent
    ? "idempotent"
    : "non_idempotent";
}

/**
 * Whether another daemon takes a request for idempotent by an older version, although the version here does not. If it
 * ran and its answer were lost, that daemon would send it to a second upstream.
 */
export function isTakenForIdempotent(
  { ticket, path, headers }: Pick<OwnedRequest, "ticket" | "path" | "headers">,
  index: RouteIndex | undefined,
): boolean {
  if (ticket.requestClass !== "idempotent") return false;
  if (index === undefined || index.configuration.version <= ticket.version) {
    return false;
  }
  const route = matchRoute(index, { host: hostOf(headers), path });
  return route?.requestClass === "non_idempotent";
}

function hostOf(headers: readonly string[]): string {
  const at = headers.findIndex((name, i) =>
    i % 2 === 0 && name.toLowerCase() === "host"
  );
  return at < 0 ? "" : headers[at + 1]!;
}
