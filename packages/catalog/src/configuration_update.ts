import type { RouteConfiguration } from "@tanagercove/types";
import type { Catalog } from "./catalog.ts";
import {
  applyConfigurationDelta,
  type ConfigurationDelta,
  diffConfigurations,
} from "./configuration_delta.ts";

/** The configuration in force at one daemon, for another that holds an older version or none. */
export type ConfigurationUpdate =
  | {
    readonly kind: "whole";
    /** Platform revision at which the configuration was written. */
    readonly revision: number;
    readonly configuration: RouteConfiguration;
  }
  | {
    readonly kind: "delta";
    readonly revision: number;
    readonly delta: ConfigurationDelta;
  };

/** A delta with more changed routes than this share of all is not smaller than the whole configuration. */
const MAX_DELTA_SHARE = 0.8;

/** Computes the update from a held version, which is 0 for none; undefined if the catalog holds nothing newer. */
export function configurationUpdateFrom(
  catalog: Catalog,
  heldVersion: number,
): ConfigurationUpdate | undefined {
  const to = catalog.index?.configuration;
  if (to === undefined || to.version <= heldVersion) return undefined;
  const revision = catalog.configurationRevision;
  const from = catalog.keptVersion(heldVersion);
  if (from !== undefined) {
    const delta = diffConfigurations({ from, to });
    if (delta.changed.length <= MAX_DELTA_SHARE * to.routes.length) {
      return { kind: "delta", revision, delta };
    }
  }
  return { kind: "whole", revision, configuration: to };
}

/** Puts the configuration of an update in force, unless the catalog holds a newer one or lacks the delta's base. */
export function applyConfigurationUpdate(
  catalog: Catalog,
  update: ConfigurationUpdate,
): void {
  const { revision } = update;
  if (update.kind === "whole") {
    const { configuration } = update;
    catalog.apply([{ kind: "configuration", revision, configuration }]);
    return;
  }
  const from = catalog.index?.configuration;
  if (from?.version !== update.delta.fromVersion) return;
  const configuration = applyConfigurationDelta(from, update.delta);
  catalog.apply([{ kind: "configuration", revision, configuration }]);
}
