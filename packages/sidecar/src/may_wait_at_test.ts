import t from "tap";
import type { PlacementCandidate } from "@tanagercove/placement";
import { mayWaitAt } from "./may_wait_at.ts";

function candidate(
  options: Partial<PlacementCandidate> = {},
): PlacementCandidate {
  return {
    id: "u",
    isOwnZone: true,
    waitMs: 0,
    serviceMs: 100,
    failureShare: 0,
    isEjected: false,
    isKnownFull: false,
    ...options,
  };
}

t.test("should wait only if no other upstream may have a free slot", (t) => {
  const chosen = candidate();
  const full = candidate({ isKnownFull: true });
  const ejected = candidate({ isEjected: true });
  const decide = (
    candidates: PlacementCandidate[],
    { knownFullCount = 0, first = chosen } = {},
  ) => mayWaitAt(first, { candidates, knownFullCount });
  t.notOk(decide([chosen, candidate()]));
  t.ok(decide([chosen]), "no other upstream");
  t.ok(decide([chosen, full, ejected]), "no other that may be free");
  t.ok(decide([chosen, candidate()], { knownFullCount: 2 }), "two were full");
  t.ok(
    decide([chosen, full], { knownFullCount: 1, first: full }),
    "a full one with the shortest wait",
  );
  t.end();
});
