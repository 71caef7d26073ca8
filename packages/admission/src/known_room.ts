import {
  decideRankedAdmission,
  decideRetryAfterMs,
} from "./ranked_decisions.ts";

/** What is predicted for a request at one upstream. */
export interface PredictedRoom {
  readonly waitMs: number;
  /** Predicted time that the request holds a slot. */
  readonly serviceMs: number;
}

/** Options of `decideKnownRoom`. */
export interface DecideKnownRoomOptions {
  readonly upstreams: readonly PredictedRoom[];
  readonly objectiveLeftMs: number;
  readonly timeLeftMs: number;
  /** Whether a request that already holds a slot waits for this one. */
  readonly isNested: boolean;
}

/** Whether a request can be served in time by what its caller's daemon knows. */
export type KnownRoom =
  | { readonly kind: "room" }
  | {
    readonly kind: "none";
    /** Shortest predicted wait. */
    readonly waitMs: number;
    /** Predicted service time at that upstream. */
    readonly serviceMs: number;
    readonly retryAfterMs: number;
  };

/** Predicted wait, as a share of the service time, up to which an upstream is likely to have a free slot. */
const NEGLIGIBLE_WAIT_SHARE = 0.1;

/**
 * Decides at the caller's daemon whether any upstream can serve a request in time.
 *
 * Answers a load far above the capacity of a service: most requests cross the mesh
 * only to be refused by several owner daemons, which costs the processor time of
 * both daemons, and for a large body the room on the links. The question is the one
 * that the owner daemon would answer, with the predicted wait in place of its own.
 */
export function decideKnownRoom(options: DecideKnownRoomOptions): KnownRoom {
  let nearest: PredictedRoom | undefined;
  for (const upstream of options.upstreams) {
    if (isServedInTime(upstream, options)) return { kind: "room" };
    if (nearest === undefined || endMs(upstream) < endMs(nearest)) {
      nearest = upstream;
    }
  }
  // Without any upstream, the reason of the refusal is another one.
  if (nearest === undefined) return { kind: "room" };
  const retryAfterMs = decideRetryAfterMs({
    backlogMs: nearest.waitMs,
    neededMs: nearest.serviceMs,
    objectiveLeftMs: options.objectiveLeftMs,
    timeLeftMs: options.timeLeftMs,
  });
  const { waitMs, serviceMs } = nearest;
  return { kind: "none", waitMs, serviceMs, retryAfterMs };
}

function isServedInTime(
  { waitMs, serviceMs }: PredictedRoom,
  { objectiveLeftMs, timeLeftMs, isNested }: DecideKnownRoomOptions,
): boolean {
  const verdict = decideRankedAdmission({
    isLeaving: false,
    freeSlots: waitMs <= NEGLIGIBLE_WAIT_SHARE * serviceMs ? 1 : 0,
    waitMs,
    neededMs: serviceMs,
    objectiveLeftMs,
    timeLeftMs,
    lateWaitingCount: 0,
    slots: 1,
    isNested,
    mayWait: true,
  });
  if (verdict.kind !== "wait") return verdict.kind === "run";
  return waitMs <= verdict.maxWaitMs;
}

function endMs({ waitMs, serviceMs }: PredictedRoom): number {
  return waitMs + serviceMs;
}

/** Shortest time between two requests that are sent to a service in spite of what is known, so that room is found again. */
const PROBE_INTERVAL_MS = 500;

/** Limit of the kinds kept; a configuration has at most a few thousand routes. */
const MAX_KINDS = 10_000;

/** Lets a few requests a second of each kind pass to a service that is known to be full, so that none is shut out. */
export class RoomProbes {
  readonly #probedAtMs = new Map<string, number>();

  /** Whether the next request may be sent all the same; counts it as a probe. */
  take(kind: string, nowMs: number): boolean {
    const probedAtMs = this.#probedAtMs.get(kind) ?? -Infinity;
    if (nowMs - probedAtMs < PROBE_INTERVAL_MS) return false;
    if (this.#probedAtMs.size >= MAX_KINDS) this.#probedAtMs.clear();
    this.#probedAtMs.set(kind, nowMs);
    return true;
  }
}
