/** What is known of one upstream that could run a request. */
export interface PlacementCandidate {
  readonly id: string;
  readonly isOwnZone: boolean;
  /** Predicted wait for a slot. */
  readonly waitMs: number;
  /** Predicted time that the upstream takes for the request. */
  readonly serviceMs: number;
  /** Share of recent requests that failed there, 0 to 1. */
  readonly failureShare: number;
  /** Whether recent attempts to reach its daemon or itself failed. */
  readonly isEjected: boolean;
}

/** Options of `choosePlacement`. */
export interface ChoosePlacementOptions {
  readonly candidates: readonly PlacementCandidate[];
  readonly latencyObjectiveMs: number;
  /** Returns a number from 0 (included) to 1 (excluded); breaks ties. */
  readonly random: () => number;
}

/** Value lost by an answer after the objective, relative to one within it. */
const LATE_LOSS = 0.7;

/** Bytes between zones are paid for: about a sixth of the value of a request. */
const OTHER_ZONE_LOSS = 0.16;

/** An ejected upstream is used only if nothing else is left. */
const EJECTED_LOSS = 2;

/** Loss by time even within the objective, so that the faster upstream is ahead. */
const LOSS_AT_OBJECTIVE = 0.1;

/** Predicted share of the objective up to which an answer is taken to be on time. */
const SAFE_SHARE = 0.55;

/** Predicted share of the objective from which an answer is taken to be late. */
const LATE_SHARE = 1.3;

/**
 * Chooses the upstream with the least expected loss of value, or undefined
 * without candidates. Answers a zone that is overrun while others have room,
 * a slow part of a service, and upstreams that fail part of their requests.
 */
export function choosePlacement(
  options: ChoosePlacementOptions,
): PlacementCandidate | undefined {
  let best: PlacementCandidate | undefined;
  let bestLoss = Infinity;
  for (const candidate of options.candidates) {
    const loss = expectedLoss(candidate, options.latencyObjectiveMs) +
      options.random() * 1e-3;
    if (loss >= bestLoss) continue;
    best = candidate;
    bestLoss = loss;
  }
  return best;
}

/** Expected loss of value of a request, in units of an answer on time. */
export function expectedLoss(
  candidate: PlacementCandidate,
  latencyObjectiveMs: number,
): number {
  const share = (candidate.waitMs + candidate.serviceMs) / latencyObjectiveMs;
  const lateness = (share - SAFE_SHARE) / (LATE_SHARE - SAFE_SHARE);
  return LATE_LOSS * Math.min(1, Math.max(0, lateness)) +
    LOSS_AT_OBJECTIVE * share +
    candidate.failureShare +
    (candidate.isOwnZone ? 0 : OTHER_ZONE_LOSS) +
    (candidate.isEjected ? EJECTED_LOSS : 0);
}
