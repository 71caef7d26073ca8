import type { SoakColdBounds, UpstreamRun } from "./ports.ts";
import type { ColdInterval, Violation } from "./promises.ts";

/** Span of the documented bound on the requests to a cold upstream. */
const COLD_SPAN_MS = 1_000;

/** Finds a cold upstream that got more requests within some second than it may, from all daemons; no fault excuses it. */
export function findRunsAboveColdBound(
  runs: readonly UpstreamRun[],
  { upstreamId, fromMs, untilMs }: ColdInterval,
  { requestsPerSecond, overFactor, slackCount }: SoakColdBounds,
): readonly Violation[] {
  const allowed = requestsPerSecond * overFactor + slackCount;
  const counted = runs
    .filter(({ startedAtMs }) => startedAtMs >= fromMs && startedAtMs < untilMs)
    .toSorted((a, b) => a.startedAtMs - b.startedAtMs);
  let first = 0;
  for (const [i, { requestId, startedAtMs }] of counted.entries()) {
    while (startedAtMs - counted[first]!.startedAtMs >= COLD_SPAN_MS) {
      first += 1;
    }
    const count = i - first + 1;
    if (count <= allowed) continue;
    return [{
      promise: "cold_bound_is_kept",
      subject: requestId,
      detail: `${count} requests started on ${upstreamId} within ${
        COLD_SPAN_MS / 1_000
      } s, allowed ${allowed}`,
    }];
  }
  return [];
}
