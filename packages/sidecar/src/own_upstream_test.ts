import fc from "fast-check";
import t from "tap";
import type { UpstreamEntry } from "@tanagercove/types";
import { OwnUpstream } from "./own_upstream.ts";

const SEED = 20261208;

const UPSTREAM = { address: "10.0.0.1", port: 8_301 };

function entry(id: string, values: Partial<UpstreamEntry> = {}): UpstreamEntry {
  return {
    id,
    service: "shop",
    ...UPSTREAM,
    zone: "z1",
    slots: 4,
    state: "ready",
    coldMs: 0,
    bornMs: 1_000,
    ...values,
  };
}

function withEntries(...entries: readonly UpstreamEntry[]): OwnUpstream {
  const own = new OwnUpstream({ service: "shop", upstream: UPSTREAM });
  for (const taken of entries) own.take(taken);
  return own;
}

const anyEntry = fc.record({
  id: fc.constantFrom("i-1", "i-2", "trial-1", "trial-2", "a-1"),
  service: fc.constantFrom("shop", "shop", "bank"),
  state: fc.constantFrom("ready" as const, "draining" as const),
  bornMs: fc.integer({ min: 1, max: 3 }),
  port: fc.constantFrom(8_301, 8_301, 8_302),
}).map(({ id, ...values }) => entry(id, values));

// Guards against a result that depends on the order in which entries arrive, which is another one after a start.
t.test("should choose the same entry whatever the order of the entries", (t) => {
  const sets = fc.uniqueArray(anyEntry, { selector: ({ id }) => id });
  const orders = sets.chain((entries) =>
    fc.tuple(
      fc.constant(entries),
      fc.shuffledSubarray(entries, {
        minLength: entries.length,
        maxLength: entries.length,
      }),
      fc.option(fc.constantFrom("i-1", "trial-1"), { nil: undefined }),
    )
  );
  fc.assert(
    fc.property(orders, ([entries, others, reportedId]) => {
      const [one, other] = [withEntries(...entries), withEntries(...others)];
      if (reportedId !== undefined) {
        one.recordReportedId(reportedId);
        other.recordReportedId(reportedId);
      }
      return one.entry === other.entry &&
        one.isAmbiguous === other.isAmbiguous &&
        one.entriesAtAddress === other.entriesAtAddress;
    }),
    { seed: SEED, numRuns: 2_000 },
  );
  t.end();
});

// Guards against another writer's entry that stops the work at a sound upstream.
t.test("should take no entry of another service or address for that of the upstream", (t) => {
  const own = withEntries(
    entry("i-1"),
    entry("trial", { service: "shop-trial", state: "draining", bornMs: 9_000 }),
    entry("near", { port: 8_302, bornMs: 9_000 }),
  );
  t.equal(own.entry?.id, "i-1");
  t.equal(own.entriesAtAddress, 2);
  t.notOk(own.isAmbiguous);
  t.equal(own.remove("trial"), undefined);
  t.end();
});

t.test("should take the entry whose id the upstream tells, until a new start", (t) => {
  const own = withEntries(
    entry("i-1"),
    entry("trial", { state: "draining", bornMs: 9_000 }),
  );
  t.ok(own.isAmbiguous);
  t.same(own.recordReportedId("i-1"), {
    kind: "entry_changed",
    entry: entry("i-1"),
  });
  t.notOk(own.isAmbiguous);
  t.equal(own.idInPlaceOf("trial"), "i-1");
  t.equal(own.idInPlaceOf("i-1"), undefined);
  t.equal(own.idInPlaceOf("unknown"), undefined);
  t.equal(own.take(entry("trial", { bornMs: 9_000 })), undefined);
  own.take(entry("i-2", { bornMs: 10_000 }));
  t.equal(own.entry?.id, "i-2");
  t.equal(own.idInPlaceOf("i-2"), undefined);
  t.ok(own.isAmbiguous);
  t.end();
});

// Guards against another writer that stops the work at a sound upstream with each new entry, until the upstream has been
// asked once more.
t.test("should keep a ready entry beside a draining one of a later start, and ask the upstream", (t) => {
  const own = withEntries(entry("i-1"));
  own.recordReportedId("i-1");
  for (const id of ["trial-1", "trial-2"]) {
    const draining = entry(id, { state: "draining", bornMs: 9_000 });
    t.equal(own.take(draining), undefined, id);
    t.equal(own.entry?.id, "i-1");
    t.ok(own.isAmbiguous);
    t.equal(own.idInPlaceOf(id), undefined, "before it is asked");
    own.recordReportedId("i-1");
    t.notOk(own.isAmbiguous);
    t.equal(own.idInPlaceOf(id), "i-1");
  }
  own.take(entry("i-1", { state: "draining" }));
  own.take(entry("i-2", { bornMs: 10_000 }));
  t.equal(own.entry?.id, "i-2", "a start after it has left");
  t.end();
});

// Guards against work for an upstream that has left, because an entry of an earlier start of it is still there.
t.test("should tell that the upstream leaves when its entry is removed, until a later start", (t) => {
  const own = withEntries(
    entry("i-1", { bornMs: 1 }),
    entry("i-2", { bornMs: 2 }),
  );
  t.equal(own.remove("i-1"), undefined);
  own.take(entry("i-1", { bornMs: 1 }));
  t.same(own.remove("i-2"), { kind: "left" });
  t.ok(own.hasLeft("i-2"));
  t.equal(own.take(entry("i-1", { bornMs: 1, slots: 5 })), undefined);
  const back = own.take(entry("i-2", { bornMs: 2 }));
  t.equal(back?.kind, "entry_changed", "its entry had expired");
  t.notOk(own.hasLeft("i-2"));
  own.remove("i-2");
  t.equal(own.take(entry("i-3", { bornMs: 3 }))?.kind, "entry_changed");
  t.end();
});

// Guards against a sound upstream that counts as leaving since another writer's entry of a later start was removed.
t.test("should ask the upstream when its entry is removed and others are there", (t) => {
  const own = withEntries(
    entry("i-1"),
    entry("trial", { state: "draining", bornMs: 9_000 }),
  );
  t.same(own.remove("trial"), { kind: "left" });
  t.ok(own.isAmbiguous);
  t.equal(own.recordReportedId("i-1")?.kind, "entry_changed");
  t.equal(own.entry?.id, "i-1");
  t.notOk(own.isAmbiguous);
  own.remove("i-1");
  t.notOk(own.isAmbiguous, "no entry is there");
  t.end();
});

t.test("should report each new value of the upstream's own entry, and of no other", (t) => {
  const own = withEntries(entry("i-1", { bornMs: 5 }));
  const draining = entry("i-1", { bornMs: 5, state: "draining" });
  t.same(own.take(draining), { kind: "entry_changed", entry: draining });
  t.equal(own.take(entry("i-0", { bornMs: 4 })), undefined);
  t.end();
});
