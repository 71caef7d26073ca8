import type { ShareKeys } from "@tanagercove/admission";
import type { Catalog } from "@tanagercove/catalog";
import type { OwnedRequest } from "./owner.ts";

/** Options of `createShareKeys`. */
export interface CreateShareKeysOptions {
  readonly catalog: Pick<Catalog, "upstreams">;
  /** IP and availability zone of this VM. */
  readonly address: string;
  readonly zone: string;
}

/** Names whose share of this VM's upstream each request takes. */
export interface RequestShareKeys {
  keysOf(request: OwnedRequest): ShareKeys;
  /** Forgets the zones of VMs, since the catalog has changed. */
  forgetZones(): void;
}

/** Creates the function that tells the VM and the zone that a request comes from, by the catalog. */
export function createShareKeys(
  { catalog, address, zone }: CreateShareKeysOptions,
): RequestShareKeys {
  let zoneByAddress: Map<string, string> | undefined;

  function readZones(): Map<string, string> {
    const zones = new Map([[address, zone]]);
    for (const { entry } of catalog.upstreams.values()) {
      zones.set(entry.address, entry.zone);
    }
    return zones;
  }

  return {
    keysOf({ ticket, callerAddress = address }) {
      zoneByAddress ??= readZones();
      const callerZone = zoneByAddress.get(callerAddress) ?? "";
      return {
        vm: callerAddress,
        zone: callerZone,
        isOtherZone: callerZone !== zone,
        kind: ticket.route,
      };
    },
    forgetZones() {
      zoneByAddress = undefined;
    },
  };
}
