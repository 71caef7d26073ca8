import type { PlacementCandidate } from "@tanagercove/placement";

/** Options of `mayWaitAt`. */
export interface MayWaitAtOptions {
  readonly candidates: readonly PlacementCandidate[];
  /** Number of upstreams that have refused the request because they were full. */
  readonly knownFullCount: number;
}

/** Number of full upstreams after which a request waits; a third one costs two daemons time and hardly finds more slots. */
const MAX_KNOWN_FULL = 2;

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
  { candidates, knownFullCount }: MayWaitAtOptions,
): boolean {
  return chosen.isKnownFull || knownFullCount >= MAX_KNOWN_FULL ||
    !candidates.some((candidate) =>
      candidate !== chosen && !candidate.isKnownFull && !candidate.isEjected
    );
}
