import type { Catalog } from "@tanagercove/catalog";
import { rankByRendezvous } from "@tanagercove/membership";
import type { Endpoint } from "@tanagercove/types";
import type { SidecarSettings } from "./settings.ts";

/** Addresses of the daemons of this zone that rank above this daemon for the task of reading the platform. */
export function higherRankedReaders(
  catalog: Catalog,
  settings: SidecarSettings,
): readonly string[] {
  const addresses = new Set([settings.address]);
  for (const { entry } of catalog.upstreams.values()) {
    if (entry.zone === settings.zone) addresses.add(entry.address);
  }
  const ranked = rankByRendezvous(settings.zone, [...addresses]);
  return ranked.slice(0, ranked.indexOf(settings.address))
    .map((address) => `${address}:${settings.peer.port}`);
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
