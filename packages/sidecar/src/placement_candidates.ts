import type { Catalog, HeldUpstream } from "@tanagercove/catalog";
import type {
  PlacementCandidate,
  UpstreamReports,
} from "@tanagercove/placement";
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
  readonly ownZone: string;
  readonly route: Route;
  readonly service: string;
  readonly rank: number;
  /** Ids of upstreams that this request has tried. */
  readonly tried: ReadonlySet<string>;
}

/** Lists the upstreams that could run a request, with predictions for each. */
export function placementCandidates(
  options: PlacementCandidatesOptions,
): PlacementCandidate[] {
  const { catalog, reports, leaving, route, tried } = options;
  const upstreams = catalog.upstreamsOf(options.service);
  const defaultServiceMs = averageServiceMs(upstreams, options);
  return upstreams
    .filter(({ entry }) =>
      entry.state === "ready" && !leaving.has(entry) && !tried.has(entry.id)
    )
    .map((held) => {
      const { id, zone } = held.entry;
      const averageMs = reports.serviceMs(id, route.name) ?? defaultServiceMs;
      return {
        id,
        isOwnZone: zone === options.ownZone,
        waitMs: reports.waitMs(id, options.rank),
        serviceMs: isCold(held)
          ? Math.max(averageMs, COLD_FACTOR * defaultServiceMs)
          : averageMs,
        failureShare: reports.failureShare(id),
        isEjected: reports.isEjected(id),
      };
    });
}

/** Average of the upstreams' known service times for the route; an assumed time if none is known. */
function averageServiceMs(
  upstreams: readonly HeldUpstream[],
  { reports, route }: PlacementCandidatesOptions,
): number {
  const known = upstreams
    .map(({ entry }) => reports.serviceMs(entry.id, route.name))
    .filter((serviceMs) => serviceMs !== undefined);
  if (known.length === 0) {
    return UNKNOWN_SERVICE_TIME_SHARE * route.latencyObjectiveMs;
  }
  return known.reduce((sum, ms) => sum + ms, 0) / known.length;
}

function isCold({ entry, seenAtMs }: HeldUpstream): boolean {
  return performance.now() - seenAtMs < entry.coldMs;
}
