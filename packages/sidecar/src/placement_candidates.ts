import type { Catalog, HeldUpstream } from "@tanagercove/catalog";
import type {
  PlacementCandidate,
  UpstreamReports,
} from "@tanagercove/placement";
import type { Route } from "@tanagercove/types";

/** Expected share of the objective that an upstream takes for a route never seen there. */
const UNKNOWN_SERVICE_SHARE = 0.4;

/** A cold upstream is about this many times slower than a warm one. */
const COLD_FACTOR = 2;

/** Options of `placementCandidates`. */
export interface PlacementCandidatesOptions {
  readonly catalog: Catalog;
  readonly reports: UpstreamReports;
  readonly ownZone: string;
  readonly route: Route;
  readonly service: string;
  readonly rank: number;
  /** Ids of upstreams that this request has tried. */
  readonly tried: ReadonlySet<string>;
}

/** Lists the upstreams that could run a request, with what is predicted for each. */
export function placementCandidates(
  options: PlacementCandidatesOptions,
): PlacementCandidate[] {
  const { catalog, reports, route, tried } = options;
  const upstreams = catalog.upstreamsOf(options.service);
  const usualMs = usualServiceMs(upstreams, options);
  return upstreams
    .filter(({ entry }) => entry.state === "ready" && !tried.has(entry.id))
    .map((held) => {
      const { id, zone } = held.entry;
      const averageMs = reports.serviceMs(id, route.name) ?? usualMs;
      return {
        id,
        isOwnZone: zone === options.ownZone,
        waitMs: reports.waitMs(id, options.rank),
        serviceMs: isCold(held)
          ? Math.max(averageMs, COLD_FACTOR * usualMs)
          : averageMs,
        failureShare: reports.failureShare(id),
        isEjected: reports.isEjected(id),
      };
    });
}

/** Average over the upstreams of a service that have run the route. */
function usualServiceMs(
  upstreams: readonly HeldUpstream[],
  { reports, route }: PlacementCandidatesOptions,
): number {
  const known = upstreams
    .map(({ entry }) => reports.serviceMs(entry.id, route.name))
    .filter((serviceMs) => serviceMs !== undefined);
  if (known.length === 0) {
    return UNKNOWN_SERVICE_SHARE * route.latencyObjectiveMs;
  }
  return known.reduce((sum, ms) => sum + ms, 0) / known.length;
}

function isCold({ entry, seenAtMs }: HeldUpstream): boolean {
  return performance.now() - seenAtMs < entry.coldMs;
}
