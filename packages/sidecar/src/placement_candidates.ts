import type { Catalog, HeldUpstream } from "@tanagercove/catalog";
import {
  bodyTransferMs,
  drawCompared,
  type PlacementCandidate,
  predictWaitMs,
  predictWorkRate,
  type UpstreamReports,
} from "@tanagercove/placement";
import type { EvacuatedZones } from "./evacuated_zones.ts";
import type { LeavingUpstreams } from "./leaving_upstreams.ts";
import type { Route } from "@tanagercove/types";

/**
 * Service time assumed for a route while this daemon knows none from any upstream of the service, as a share of the
 * latency objective.
 */
const UNKNOWN_SERVICE_TIME_SHARE = 0.4;

/** A cold upstream is about this many times slower than a warm one. */
const COLD_FACTOR = 2;

/** Options of `placementCandidates`. */
export interface PlacementCandidatesOptions {
  readonly catalog: Catalog;
  readonly reports: UpstreamReports;
  readonly leaving: Pick<LeavingUpstreams, "has">;
  readonly evacuated: Pick<EvacuatedZones, "has">;
  readonly ownZone: string;
  readonly route: Route;
  readonly service: string;
  readonly rank: number;
  /** Length of the request's body; 0 without one. */
  readonly bodyBytes: number;
  /** IP of this VM. */
  readonly ownAddress: string;
  /** Bandwidth of a VM's link; undefined if it is not known. */
  readonly linkMbpsOf: (address: string) => number | undefined;
  /** Ids of upstreams that this request must not be sent to again. */
  readonly tried: ReadonlySet<string>;
  /** Ids of upstreams that have refused this request because they were full. */
  readonly knownFull: ReadonlySet<string>;
  /** Monotonic time in milliseconds. */
  readonly nowMs: number;
  /** Returns a number from 0 (included) to 1 (excluded). */
  readonly random: () => number;
}

/** Lists the upstreams that are compared for a request (`drawCompared`), with predictions for each. */
export function placementCandidates(
  options: PlacementCandidatesOptions,
): PlacementCandidate[] {
  const { catalog, reports, leaving, evacuated, route, tried, ownZone } =
    options;
  const upstreams = catalog.upstreamsOf(options.service);
  const usable = upstreams.filter(({ entry }) =>
    entry.state === "ready" && !evacuated.has(entry) &&
    !leaving.has(entry) && !tried.has(entry.id)
  );
  const entryAt = (index: number) => usable[index]!.entry;
  const drawn = drawCompared(usable.length, {
    isOwnZone: (index) => entryAt(index).zone === ownZone,
    isEjected: (index) => reports.isEjected(entryAt(index).id),
    isKnownFull: (index) => options.knownFull.has(entryAt(index).id),
    random: options.random,
  });
  const compared = withOwnVm(drawn, usable, options);
  const defaultServiceMs = averageServiceMs(upstreams, options);
  // The load of one zone says little of the load of another.
  const usualOwnZone = reports.usualLoad(idsOf(usable, ownZone, true));
  const usualOtherZones = reports.usualLoad(idsOf(usable, ownZone, false));
  return compared.map((index) => {
    const held = usable[index]!;
    const { id, zone, slots, address } = held.entry;
    const known = reports.knownLoad(id);
    const averageMs = (reports.serviceMs(id, route.name) ?? defaultServiceMs) /
      predictWorkRate(known);
    const isOwnZone = zone === ownZone;
    return {
      id,
      isOwnZone,
      waitMs: predictWaitMs({
        known,
        usualOfService: isOwnZone ? usualOwnZone : usualOtherZones,
        slots,
        rank: options.rank,
      }),
      serviceMs: isCold(held, options)
        ? Math.max(averageMs, COLD_FACTOR * defaultServiceMs)
        : averageMs,
      transferMs: transferMsTo(address, options),
      failureShare: reports.failureShare(id),
      isEjected: reports.isEjected(id),
      isKnownFull: options.knownFull.has(id),
    };
  });
}

/** Adds the upstream of this VM if the body takes time to any other one. */
function withOwnVm(
  drawn: readonly number[],
  usable: readonly HeldUpstream[],
  options: PlacementCandidatesOptions,
): readonly number[] {
  if (transferMsTo(undefined, options) === 0) return drawn;
  const own = usable.findIndex(({ entry }) =>
    entry.address === options.ownAddress
  );
  return own < 0 || drawn.includes(own) ? drawn : [...drawn, own];
}

/** Time that the body takes to a VM; without an address, to one of which nothing is known. */
function transferMsTo(
  address: string | undefined,
  { bodyBytes, ownAddress, linkMbpsOf }: PlacementCandidatesOptions,
): number {
  const ownLinkMbps = linkMbpsOf(ownAddress);
  if (ownLinkMbps === undefined) return 0;
  return bodyTransferMs({
    bodyBytes,
    isOwnVm: address === ownAddress,
    linkMbps: address === undefined ? undefined : linkMbpsOf(address),
    ownLinkMbps,
  });
}

/** Ids of the upstreams in the own zone, or of those in other zones. */
function* idsOf(
  upstreams: readonly HeldUpstream[],
  ownZone: string,
  isOwnZone: boolean,
): Iterable<string> {
  for (const { entry } of upstreams) {
    if ((entry.zone === ownZone) === isOwnZone) yield entry.id;
  }
}

/** Average of the upstreams' known service times for the route; an assumed time if none is known. */
function averageServiceMs(
  upstreams: readonly HeldUpstream[],
  { reports, route }: PlacementCandidatesOptions,
): number {
  let sumMs = 0;
  let count = 0;
  for (const { entry } of upstreams) {
    const serviceMs = reports.serviceMs(entry.id, route.name);
    if (serviceMs === undefined) continue;
    sumMs += serviceMs;
    count += 1;
  }
  return count === 0
    ? UNKNOWN_SERVICE_TIME_SHARE * route.latencyObjectiveMs
    : sumMs / count;
}

/** Whether an upstream is cold by the last report of its owner daemon; by its entry, which is late, without one. */
function isCold(
  { entry, coldUntilMs }: HeldUpstream,
  { reports, nowMs }: Pick<PlacementCandidatesOptions, "reports" | "nowMs">,
): boolean {
  const known = reports.knownLoad(entry.id);
  const coldForMs = known?.load.capacity?.coldForMs;
  return coldForMs === undefined
    ? nowMs < coldUntilMs
    : coldForMs > known!.ageMs;
}
