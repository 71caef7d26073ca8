/** An upstream that could run a request, with what is known about it. */
export interface PlacementCandidate {
  readonly id: string;
  readonly isOwnZone: boolean;
  /** Predicted wait for a slot. */
  readonly waitMs: number;
  /** Predicted service time of the request. */
  readonly serviceMs: number;
  /** Time that the body of the request takes to the upstream; 0 by default. */
  readonly transferMs?: number;
  /** Share of recent requests to the upstream that failed, 0 to 1. */
  readonly failureShare: number;
  /** Whether the upstream is avoided for now because attempts to reach it or its owner daemon failed. */
  readonly isEjected: boolean;
  /** Whether the upstream has just refused this request because it was full, so that its load is known exactly. */
  readonly isKnownFull: boolean;
}

/** Options of `choosePlacement`. */
export interface ChoosePlacementOptions {
  readonly candidates: readonly PlacementCandidate[];
  readonly latencyObjectiveMs: number;
  /** Returns a number from 0 (included) to 1 (excluded); breaks ties. */
  readonly random: () => number;
}

/** Loss of a late answer, relative to the value of an answer on time. */
const LATE_LOSS = 0.7;

/**
 * Loss for an upstream in another zone, which makes a request leave its zone only to be answered earlier by a sixth of
 * its objective or more. With a lower loss, the daemons of all zones send to the same upstreams with room, and more
 * answers are late; with a higher one, the queue of a zone under load grows first (`docs/decisions/learned_capacity.md`).
 */
const OTHER_ZONE_LOSS = 0.16;

/**
 * Loss for an ejected upstream, so high that such an upstream is chosen only if no other one is left, or if the others
 * are far too late, or are late and also fail nearly all requests.
 */
const EJECTED_LOSS = 2;

/**
 * Loss added for an answer that is predicted exactly at the objective. This loss is proportional to the predicted time,
 * so that the faster of two upstreams is preferred even if both are on time.
 */
const LOSS_AT_OBJECTIVE = 0.1;

/** Predicted time of an answer, as a share of the objective, up to which it counts as on time. */
const SAFE_SHARE = 0.55;

/**
 * Predicted time, as a share of the objective, from which an answer counts as late. Between `SAFE_SHARE` and this, the
 * loss grows linearly.
 */
const LATE_SHARE = 1.3;

/**
 * Chooses the upstream with the lowest expected loss of value, or undefined if
 * there are no candidates. This moves requests away from an overloaded zone while
 * others have free slots, from slow upstreams of a service, and from upstreams
 * that fail some of their requests.
 */
export function choosePlacement(
  options: ChoosePlacementOptions,
): PlacementCandidate | undefined {
  let best: PlacementCandidate | undefined;
  let bestLoss = Infinity;
  for (const candidate of options.candidates) {
    const loss = expectedLoss(candidate, options.latencyObjectiveMs) +
      options.random() * 1e-3;
    if (best !== undefined && loss >= bestLoss) continue;
    best = candidate;
    bestLoss = loss;
  }
  return best;
}

/** Expected loss of value of a request, in units of the value of an answer on time. */
export function expectedLoss(
  candidate: PlacementCandidate,
  latencyObjectiveMs: number,
): number {
  const { waitMs, serviceMs, transferMs = 0 } = candidate;
  const share = (waitMs + serviceMs + transferMs) / latencyObjectiveMs;
  const lateness = (share - SAFE_SHARE) / (LATE_SHARE - SAFE_SHARE);
  return LATE_LOSS * Math.min(1, Math.max(0, lateness)) +
    LOSS_AT_OBJECTIVE * share +
    candidate.failureShare +
    (candidate.isOwnZone ? 0 : OTHER_ZONE_LOSS) +
    (candidate.isEjected ? EJECTED_LOSS : 0);
}
