import {
  decideKnownRoom,
  type KnownRoom,
  RoomProbes,
  WaitFactors,
} from "@tanagercove/admission";
import type {
  PlacementCandidate,
  UpstreamReports,
} from "@tanagercove/placement";
import type { RoutedRequest } from "./caller_request.ts";

/** What is known of a service that has no room for a request in time. */
export interface KnownShortage {
  /** Shortest predicted wait for a slot. */
  readonly waitMs: number;
  readonly retryAfterMs: number;
  /** Number of upstreams that were compared. */
  readonly upstreams: number;
  /** Time by which the caller came back before it was told to; 0 if it did not. */
  readonly earlyMs: number;
  /** Predicted service time at the upstream with the shortest wait. */
  readonly serviceMs: number;
  /** Age of the oldest load report behind the predictions; undefined without any. */
  readonly oldestReportMs: number | undefined;
}

/** What a check for room needs to know of a request; its body may still be on its way. */
export type RoomRequest = Pick<
  RoutedRequest,
  "route" | "service" | "objectiveAtMs" | "deadlineAtMs" | "isNested"
>;

/** Predicted wait, as a share of the service time, from which it can be compared with the real one. */
const MIN_PREDICTED_SHARE = 0.5;

/** Options of `RoomCheck`. */
export interface RoomCheckOptions {
  readonly reports: Pick<UpstreamReports, "knownLoad">;
  readonly nowMs: () => number;
}

/** Refuses requests at their caller's daemon that no upstream can serve in time, as far as this daemon knows. */
export class RoomCheck {
  readonly #options: RoomCheckOptions;
  readonly #probes = new RoomProbes();
  readonly #factors = new WaitFactors();

  constructor(options: RoomCheckOptions) {
    this.#options = options;
  }

  /** Whether one of the upstreams is known to have room for a request in time. */
  hasRoom(
    request: RoomRequest,
    candidates: readonly PlacementCandidate[],
  ): boolean {
    return candidates.length > 0 &&
      this.#decide(request, candidates).kind === "room";
  }

  /**
   * What is known if there is no room for a request; undefined if it is to be sent. A caller that came back before it was
   * told to finds room only where a slot is free, so that it takes none from those who wait.
   */
  shortageFor(
    request: RoomRequest,
    candidates: readonly PlacementCandidate[],
    { earlyMs = 0 }: { readonly earlyMs?: number } = {},
  ): KnownShortage | undefined {
    // A refusal of a nested call would throw away the run that makes it.
    if (request.isNested) return undefined;
    const { nowMs, reports } = this.#options;
    const usable = candidates.filter(({ isEjected }) => !isEjected);
    // With no time to wait, only a free slot is room.
    const known = this.#decide(
      earlyMs > 0 ? { ...request, deadlineAtMs: nowMs() + 1 } : request,
      usable,
    );
    if (known.kind === "room") return undefined;
    const agesMs = usable.flatMap(({ id }) =>
      reports.knownLoad(id)?.ageMs ?? []
    );
    if (agesMs.length === 0) return undefined;
    const isProbe = earlyMs === 0 &&
      this.#probes.take(kindOf(request), nowMs());
    if (isProbe) return undefined;
    return {
      earlyMs,
      serviceMs: known.serviceMs,
      waitMs: known.waitMs,
      retryAfterMs: known.retryAfterMs,
      upstreams: usable.length,
      oldestReportMs: Math.max(...agesMs),
    };
  }

  /** Records how long a request waited at an upstream; undefined if the upstream was full for it. */
  recordWait(
    request: RoomRequest,
    { waitMs, serviceMs }: Pick<PlacementCandidate, "waitMs" | "serviceMs">,
    waitedMs: number | undefined,
  ): void {
    // A small difference says nothing: the way to the upstream takes time too.
    if (waitMs < MIN_PREDICTED_SHARE * serviceMs) return;
    this.#factors.record(kindOf(request), { predictedMs: waitMs, waitedMs });
  }

  #decide(
    request: RoomRequest,
    candidates: readonly PlacementCandidate[],
  ): KnownRoom {
    const { objectiveAtMs, deadlineAtMs, isNested } = request;
    const nowMs = this.#options.nowMs();
    const factor = this.#factors.factorOf(kindOf(request));
    const upstreams = candidates.map(({ waitMs, serviceMs }) => ({
      waitMs: factor * waitMs,
      serviceMs,
    }));
    return decideKnownRoom({
      upstreams,
      objectiveLeftMs: objectiveAtMs - nowMs,
      timeLeftMs: deadlineAtMs - nowMs,
      isNested,
    });
  }
}

function kindOf({ service, route }: RoomRequest): string {
  return `${service} ${route.name}`;
}
