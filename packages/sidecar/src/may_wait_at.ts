import type { PlacementCandidate } from "@tanagercove/placement";
import type { RoomPolicy } from "./room_policy.ts";

/** Options of `mayWaitAt`. */
export interface MayWaitAtOptions {
  readonly candidates: readonly PlacementCandidate[];
  /** Number of upstreams that have refused the request because they were full. */
  readonly knownFullCount: number;
  /** Number of full upstreams after which the request waits (`decideMaxKnownFull`). */
  readonly maxKnownFull: number;
}

/** Number of full upstreams after which a request waits; a third one costs two daemons time and hardly finds more slots. */
const MAX_KNOWN_FULL = 2;

/** Number of full upstreams that a request finds at a service of which a daemon knows all upstreams. */
const MAX_KNOWN_FULL_OF_FEW = 1;

/** Upstreams of a service of which a daemon usually knows the load of each: as many as `drawCompared` compares. */
const FEW_UPSTREAMS = 8;

/**
 * Service times within the time that is left from which a wait hardly makes a request late: its own run, which may take
 * longer than planned, and a wait of two more.
 */
const UNHURRIED_SERVICE_TIMES = 4;

/** Options of `decideMaxKnownFull`. */
export interface DecideMaxKnownFullOptions {
  readonly policy: RoomPolicy;
  /** Number of upstreams of the service. */
  readonly upstreams: number;
  /** Predicted service time of the request. */
  readonly serviceMs: number;
  /** Time within which an answer is worth its full value. */
  readonly leftMs: number;
}

/**
 * Decides how many full upstreams a request finds before it waits at one.
 *
 * Answers the load of a service whose daemons have little processor time: each
 * full upstream that a request finds costs two daemons about as much as a served
 * one. So a request waits at the first one if it has time to wait, and at a
 * service with a few upstreams after one, since all of them have been compared.
 */
export function decideMaxKnownFull(
  { policy, upstreams, serviceMs, leftMs }: DecideMaxKnownFullOptions,
): number {
  if (policy === "by_attempt") return MAX_KNOWN_FULL;
  if (leftMs >= UNHURRIED_SERVICE_TIMES * serviceMs) return 0;
  return upstreams <= FEW_UPSTREAMS ? MAX_KNOWN_FULL_OF_FEW : MAX_KNOWN_FULL;
}

/**
 * Decides whether a request may wait for a slot at the chosen upstream.
 *
 * Answers a load close to the capacity of a service with many upstreams: a free
 * slot is taken within milliseconds, so no report tells which of them has one,
 * and many requests would wait beside idle slots. A request is therefore refused
 * by the first upstreams if they are full, which shows their exact load, and waits
 * at the best one of them if no other has a slot.
 */
export function mayWaitAt(
  chosen: PlacementCandidate,
  { candidates, knownFullCount, maxKnownFull }: MayWaitAtOptions,
): boolean {
  return chosen.isKnownFull || knownFullCount >= maxKnownFull ||
    !candidates.some((candidate) =>
      candidate !== chosen && !candidate.isKnownFull && !candidate.isEjected
    );
}
