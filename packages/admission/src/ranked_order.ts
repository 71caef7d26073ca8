/** What decides the order of waiting requests. */
export interface RankedRequest {
  /** 0 is the most urgent. */
  readonly rank: number;
  /** Time at which the answer loses most of its value. */
  readonly objectiveAtMs: number;
  /** Time that the request is expected to hold a slot. */
  readonly neededMs: number;
}

/**
 * Whether `a` gets the next slot rather than `b`: by rank, then those that can
 * still meet their latency objective, then by the earlier objective.
 *
 * Answers a burst: in order of arrival alone, each request of a backlog would
 * wait until it is just late.
 */
export function isServedBefore(
  a: RankedRequest,
  b: RankedRequest,
  nowMs: number,
): boolean {
  if (a.rank !== b.rank) return a.rank < b.rank;
  const aOnTime = canMeetObjective(a, nowMs);
  const bOnTime = canMeetObjective(b, nowMs);
  if (aOnTime !== bOnTime) return aOnTime;
  return a.objectiveAtMs < b.objectiveAtMs;
}

function canMeetObjective(request: RankedRequest, nowMs: number): boolean {
  return nowMs + request.neededMs <= request.objectiveAtMs;
}

/** Number of waiting requests that are served before a new one. */
export function waitingAhead(
  waiting: readonly RankedRequest[],
  request: RankedRequest,
): number {
  let ahead = 0;
  for (const { rank } of waiting) {
    if (rank <= request.rank) ahead += 1;
  }
  return ahead;
}
