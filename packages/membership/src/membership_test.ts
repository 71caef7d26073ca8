import fc from "fast-check";
import t from "tap";
import type { Vm } from "@tanagercove/types";
import { Membership, NOTICE_EXPIRY_MS, rankByRendezvous } from "./index.ts";

const SEED = 20_261_204;

function vm(id: string, zone: string, state: Vm["state"] = "live"): Vm {
  return {
    id,
    zone,
    service: "swatches",
    region: "r",
    address: "127.21.2.1",
    callerPort: 1,
    peerPort: 2,
    upstreamPort: 3,
    state,
  };
}

const VMS = ["a", "b", "c", "d", "e", "f"].flatMap((zone) =>
  [1, 2, 3, 4, 5].map((n) => vm(`${zone}${n}`, zone))
);

function createMembership(vmId = "a1") {
  let nowMs = 1_000;
  let step = 0;
  const membership = new Membership({
    vmId,
    zone: "a",
    seeds: [{ address: "127.21.2.9", port: 9 }],
    clock: { nowMs: () => nowMs, sleep: () => Promise.resolve() },
    random: { next: () => ((step += 1) * 0.618_034) % 1 },
  });
  return { membership, advance: (ms: number) => nowMs += ms };
}

t.test("should rank the VMs the same on every daemon and keep the order of the others when one is removed", (t) => {
  t.comment(`seed ${SEED}`);
  const ids = fc.uniqueArray(fc.string({ minLength: 1, maxLength: 8 }), {
    minLength: 2,
    maxLength: 30,
  });
  fc.assert(
    fc.property(ids, fc.nat(), (vmIds, n) => {
      const ranked = rankByRendezvous("z", vmIds);
      const removedId = vmIds[n % vmIds.length]!;
      const remaining = rankByRendezvous(
        "z",
        [...vmIds].reverse().filter((id) => id !== removedId),
      );
      t.strictSame(remaining, ranked.filter((id) => id !== removedId));
    }),
    { seed: SEED, numRuns: 50 },
  );
  t.end();
});

t.test("should vary the order of the zones from revision to revision, so that no zone is always the first to read", (t) => {
  const { membership } = createMembership();
  membership.setVms(VMS);
  const revisions = Array.from({ length: 600 }, (_, index) => index + 1);
  const positions = revisions.map((n) => membership.zonePosition(n));
  t.strictSame([...new Set(positions)].sort(), [0, 1, 2, 3, 4, 5]);
  const first = positions.filter((position) => position === 0).length;
  t.ok(first > 50 && first < 200, `first for ${first} of 600 revisions`);
  membership.setVms(VMS.filter(({ zone }) => zone === "a"));
  t.equal(membership.zonePosition(1), 0);
  t.end();
});

t.test("should make two of a zone's live VMs readers", (t) => {
  const withLeaving = VMS.map((v) =>
    v.id === "a3" ? vm("a3", "a", "leaving") : v
  );
  const readers = ["a1", "a2", "a3", "a4", "a5"].filter((id) => {
    const { membership } = createMembership(id);
    membership.setVms(withLeaving);
    return membership.isReader;
  });
  t.equal(readers.length, 2);
  t.notOk(readers.includes("a3"), "a leaving VM is no reader");
  const { membership } = createMembership("unlisted");
  t.ok(membership.isReader, "without a VM list");
  membership.setVms(withLeaving);
  t.equal(membership.ownRank, 4, "a VM not listed ranks last");
  t.end();
});

t.test("should choose distinct peers, never itself, and one peer in each other zone", (t) => {
  const { membership } = createMembership();
  t.strictSame(membership.pickInZone(2).map(({ id }) => id), ["127.21.2.9 9"]);
  membership.setVms(VMS);
  for (let n = 0; n < 50; n += 1) {
    const inZone = membership.pickInZone(4).map(({ id }) => id).sort();
    t.strictSame(inZone, ["a2", "a3", "a4", "a5"]);
    const zones = membership.pickInOtherZones(5).map(({ zone }) => zone).sort();
    t.strictSame(zones, ["b", "c", "d", "e", "f"]);
  }
  t.end();
});

t.test("should skip suspected peers until the backoff ends or they answer", (t) => {
  const { membership, advance } = createMembership();
  membership.setVms(VMS);
  for (const id of ["a2", "a3", "a4"]) {
    t.ok(membership.recordFailure(id));
    t.notOk(membership.recordFailure(id));
  }
  t.strictSame(membership.pickInZone(4).map(({ id }) => id), ["a5"]);
  membership.recordSuccess("a2");
  t.equal(membership.pickInZone(4).length, 2);
  advance(2_001);
  t.equal(membership.pickInZone(4).length, 4);
  for (const id of ["a2", "a3", "a4", "a5"]) membership.recordFailure(id);
  t.equal(membership.pickInZone(1).length, 1, "all suspected");
  t.end();
});

t.test("should let a notice expire unless the leaving process repeats it", (t) => {
  const { membership, advance } = createMembership();
  membership.setVms(VMS);
  const notice = { vmId: "b1", processId: "p1", ageMs: 0 };
  t.ok(membership.addNotice(notice));
  advance(20_000);
  const relayed = membership.notices()[0]!;
  t.equal(relayed.ageMs, 20_000);
  t.notOk(
    membership.addNotice(relayed),
    "a copy of the same notice comes back",
  );
  advance(NOTICE_EXPIRY_MS - 20_000);
  t.notOk(membership.isLeaving("b1"));
  t.notOk(membership.addNotice({ ...relayed, ageMs: NOTICE_EXPIRY_MS }));
  t.ok(membership.addNotice(notice), "repeated");
  membership.setVms([vm("b1", "b", "leaving")]);
  advance(NOTICE_EXPIRY_MS);
  t.ok(membership.isLeaving("b1"), "confirmed by the VM list");
  t.end();
});

t.test("should drop a notice about a process that a new one has replaced", (t) => {
  const { membership } = createMembership();
  membership.setVms(VMS);
  const notice = { vmId: "b1", processId: "p1", ageMs: 0 };
  membership.addNotice(notice);
  membership.recordMessageFrom("b1", "p1");
  t.ok(membership.isLeaving("b1"), "still the same process");
  membership.recordMessageFrom("b1", "p2");
  t.notOk(membership.isLeaving("b1"));
  t.notOk(membership.addNotice(notice), "late copy of the old notice");
  t.ok(membership.addNotice({ ...notice, processId: "p2" }));
  t.notOk(membership.addNotice({ ...notice, vmId: "unlisted" }));
  t.end();
});
