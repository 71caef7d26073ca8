/** Fields that determine the order of waiting requests. */
export interface RankedRequest {
  /** 0 is the most urgent. */
  readonly rank: number;
  /** Time of the latency objective, after which an answer has lost most of its value. */
  readonly objectiveAtMs: number;
  /** Time that the request is expected to hold a slot. */
  readonly neededMs: number;
}

/**
 * Time that is planned for a request, as a multiple of its average service time. Service times vary, so half of the
 * requests that start with just the average left are late.
 */
const PLANNED_SHARE = 1.25;

/** Whether a request that starts after a wait is likely to end within a time. */
export function isLikelyInTime(
  { waitMs, neededMs, leftMs }: {
    readonly waitMs: number;
    readonly neededMs: number;
    readonly leftMs: number;
  },
): boolean {
  return waitMs + PLANNED_SHARE * neededMs <= leftMs;
}

/**
 * Whether `a` is served before `b`: by rank, then requests that can still meet
 * their latency objective, then by the earlier objective.
 *
 * If a backlog were served in order of arrival, each request would wait until it
 * has just missed its objective.
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

/** Whether a request that starts now is likely to meet its objective. */
export function canMeetObjective(
  { neededMs, objectiveAtMs }: RankedRequest,
  nowMs: number,
): boolean {
  return isLikelyInTime({ waitMs: 0, neededMs, leftMs: objectiveAtMs - nowMs });
}

/** Number of waiting requests of the same or a more urgent rank, all of which are assumed to be served first. */
export function countWaitingAhead(
  waiting: readonly RankedRequest[],
  request: RankedRequest,
): number {
  let ahead = 0;
  for (const { rank } of waiting) {
    if (rank <= request.rank) ahead += 1;
  }
  return ahead;
}
