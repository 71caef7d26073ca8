import fc from "fast-check";
import t from "tap";
import {
  applyDelta,
  computeDelta,
  makeSnapshot,
  SnapshotStore,
} from "./index.ts";

const SEED = 20_261_204;

function lists(revision: number, plans: string) {
  return makeSnapshot({
    kind: "lists",
    revision,
    texts: { plans, allowances: "" },
  });
}

t.test("should never move to a lower revision, whatever the order of offers", (t) => {
  fc.assert(
    fc.property(fc.array(fc.nat(20)), (revisions) => {
      const store = new SnapshotStore<"lists">({
        kind: "lists",
        validate: () => undefined,
      });
      let highest = -1;
      for (const revision of revisions) {
        store.offer(lists(revision, `c = p${revision}`));
        highest = Math.max(highest, revision);
        if (store.held?.revision !== highest) return false;
      }
      return true;
    }),
    { seed: SEED },
  );
  t.end();
});

t.test("should keep the content held first when the same revision comes with other content", (t) => {
  const store = new SnapshotStore<"lists">({
    kind: "lists",
    validate: () => undefined,
  });
  t.equal(store.offer(lists(3, "a = b")), "taken");
  t.equal(store.offer(lists(3, "a = c")), "conflict");
  t.equal(store.held?.texts.plans, "a = b");
  t.end();
});

t.test("should refuse an invalid version entirely and take the next valid one", (t) => {
  const store = new SnapshotStore<"lists">({
    kind: "lists",
    validate: ({ texts }) => texts.plans === "bad" ? "plans:1: bad" : undefined,
  });
  store.offer(lists(1, "a = b"));
  t.equal(store.offer(lists(2, "bad")), "refused");
  t.equal(store.held?.revision, 1);
  t.equal(store.refused[0]?.reason, "plans:1: bad");
  t.equal(store.offer(lists(3, "a = c")), "taken");
  t.end();
});

t.test("should rebuild any target from its base and delta", (t) => {
  const texts = fc.array(fc.constantFrom("a = b", "c = d", "", "e = f")).map((
    l,
  ) => l.join("\n"));
  fc.assert(
    fc.property(texts, texts, (before, after) => {
      const base = lists(1, before);
      const target = lists(2, after);
      const delta = computeDelta(base, target);
      if (delta === undefined) return false;
      const result = applyDelta(base, delta);
      return result.isOk && result.value.texts.plans === after &&
        result.value.hash === target.hash;
    }),
    { seed: SEED },
  );
  t.end();
});

t.test("should refuse a delta whose result has another hash", (t) => {
  const base = lists(1, "a = b");
  const delta = computeDelta(base, lists(2, "a = c"))!;
  const forged = { ...delta, target: { revision: 2, hash: "0".repeat(64) } };
  t.equal(
    applyDelta(base, forged).unwrapOrElse((error) => error),
    "hash_differs",
  );
  t.end();
});

t.test("should take no revision below the floor, even while no snapshot is held", (t) => {
  const store = new SnapshotStore<"lists">({
    kind: "lists",
    validate: () => undefined,
  });
  store.raiseFloor(5);
  store.raiseFloor(2);
  t.equal(store.offer(lists(4, "a = b")), "older");
  t.equal(store.held, undefined);
  t.equal(store.offer(lists(5, "a = b")), "taken");
  t.end();
});
