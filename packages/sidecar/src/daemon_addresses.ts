import type { Catalog } from "@tanagercove/catalog";
import { rankByRendezvous } from "@tanagercove/membership";
import type { Endpoint } from "@tanagercove/types";
import type { SidecarSettings } from "./settings.ts";

/** Addresses of the VMs of this zone, this one included, in an order that all daemons compute alike. */
export function zoneAddresses(
  catalog: Catalog,
  { zone, address }: Pick<SidecarSettings, "zone" | "address">,
): readonly string[] {
  const addresses = new Set([address]);
  for (const { entry } of catalog.upstreams.values()) {
    if (entry.zone === zone) addresses.add(entry.address);
  }
  return rankByRendezvous(zone, [...addresses]);
}

/** Options of `higherRankedReaders`. */
export interface HigherRankedReadersOptions {
  readonly ownAddress: string;
  /** Addresses of the VMs of this zone, this one included, in an order that all daemons compute alike. */
  readonly zoneAddresses: readonly string[];
  /** Bandwidth of a VM's link; undefined if it is not known. */
  readonly linkMbpsOf: (address: string) => number | undefined;
}

/**
 * Addresses of the VMs of this zone whose daemons rank above this one for the
 * task of reading the platform, the first one first. A wider link ranks higher,
 * since all versions reach the zone over the link of the first one; among equal
 * links, the common order decides. A VM whose link is not known is left out: if
 * each of two daemons guessed, they could follow each other.
 */
export function higherRankedReaders(
  { ownAddress, zoneAddresses, linkMbpsOf }: HigherRankedReadersOptions,
): readonly string[] {
  const ranked = zoneAddresses
    .flatMap((address) => {
      const linkMbps = linkMbpsOf(address);
      return linkMbps === undefined ? [] : [{ address, linkMbps }];
    })
    .sort((a, b) => b.linkMbps - a.linkMbps)
    .map(({ address }) => address);
  return ranked.slice(0, ranked.indexOf(ownAddress));
}

/** Other daemons: first those of this zone, then those of other zones, then the seeds. */
export function peerAddresses(
  catalog: Catalog,
  settings: SidecarSettings,
): readonly string[] {
  const entries = [...catalog.upstreams.values()].map(({ entry }) => entry)
    .filter(({ address }) => address !== settings.address);
  const isOwnZone = ({ zone }: { readonly zone: string }) =>
    zone === settings.zone;
  const ordered = [
    ...shuffled(entries.filter(isOwnZone)),
    ...shuffled(entries.filter((entry) => !isOwnZone(entry))),
  ].map(({ address }) => `${address}:${settings.peer.port}`);
  const seeds = settings.seeds.map(({ address, port }) => `${address}:${port}`);
  return [...new Set([...ordered, ...seeds])];
}

function shuffled<T>(items: readonly T[]): readonly T[] {
  return items.map((item) => ({ item, at: Math.random() }))
    .sort((a, b) => a.at - b.at).map(({ item }) => item);
}

/** Parses an `IP:PORT`. */
export function parseEndpoint(text: string): Endpoint {
  const colon = text.lastIndexOf(":");
  return { address: text.slice(0, colon), port: Number(text.slice(colon + 1)) };
}
