import type { RouteConfiguration } from "@tanagercove/types";
import { checkFleet, type FleetFacts } from "./check_fleet.ts";
import { checkMatches } from "./check_matches.ts";
import { checkRoutes } from "./check_routes.ts";
import type { Finding } from "./finding.ts";

/** Options of `checkConfiguration`. */
export interface CheckConfigurationOptions {
  /** Version in force; a new one must be higher, or no daemon takes it. */
  readonly inForce?: RouteConfiguration | undefined;
  readonly fleet?: FleetFacts;
}

/** Finds what is wrong with a configuration before it is sent. */
export function checkConfiguration(
  configuration: RouteConfiguration,
  { inForce, fleet = {} }: CheckConfigurationOptions = {},
): readonly Finding[] {
  return [
    ...checkVersion(configuration, inForce),
    ...checkRoutes(configuration),
    ...checkMatches(configuration.routes),
    ...checkFleet(configuration, fleet),
  ];
}

function checkVersion(
  { version }: RouteConfiguration,
  inForce: RouteConfiguration | undefined,
): readonly Finding[] {
  if (inForce === undefined || version > inForce.version) return [];
  return [{
    severity: "error",
    field: "version",
    message:
      `Expected a version above ${inForce.version}, which is in force, got ${version}`,
  }];
}
