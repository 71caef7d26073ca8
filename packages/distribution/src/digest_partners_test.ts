import t from "tap";
import { seededRandom } from "@tanagercove/emulator";
import { Membership } from "@tanagercove/membership";
import { VirtualClock } from "@tanagercove/test_helpers";
import { DigestPartners, type PartnerScope } from "./digest_partners.ts";
import { makeVm, makeVms } from "./fleet_fixture.ts";

const SEED = 20_261_204;

const VMS = makeVms("abcd", 20);

function createPartners(vmId: string, seed = SEED) {
  const clock = new VirtualClock();
  const random = { next: seededRandom(seed) };
  const membership = new Membership({ vmId, zone: "a", clock, random });
  membership.setVms(VMS);
  const partners = new DigestPartners({ membership, clock, random });
  const nextPeer = (scope: PartnerScope = "zone") => partners.next(scope)!;
  const nextIds = (count: number, scope?: PartnerScope) =>
    new Set(Array.from({ length: count }, () => nextPeer(scope).id));
  return { clock, membership, partners, nextPeer, nextIds };
}

t.test("should keep a few partners for some time and reach many peers within minutes", async (t) => {
  const { clock, nextIds } = createPartners("a1");
  for (const [scope, count] of [["zone", 3], ["otherZones", 2]] as const) {
    const kept = nextIds(count, scope);
    t.equal(kept.size, count);
    await clock.advance(25_000);
    t.strictSame(nextIds(30, scope), kept, "used again");
    // A partner is kept for a minute on average. Ten minutes give 30 choices out of 19 peers in the
    // zone, or 20 out of 60 in other zones.
    for (let n = 0; n < 30; n += 1) {
      await clock.advance(20_000);
      for (const id of nextIds(6, scope)) kept.add(id);
    }
    t.ok(kept.size >= 10, `${kept.size} different partners`);
  }
});

t.test("should replace at once a partner that is silent, suspected, leaving or not listed", (t) => {
  const { membership, partners, nextPeer, nextIds } = createPartners("a1");
  nextIds(3);
  const causes: Readonly<Record<string, (id: string) => void>> = {
    silent: (id) => partners.drop(membership.peer(id)!),
    suspected: (id) => void membership.recordFailure(id),
    leaving: (id) =>
      void membership.addNotice({ vmId: id, processId: "p", ageMs: 0 }),
    unlisted: (id) => membership.setVms(VMS.filter((vm) => vm.id !== id)),
  };
  for (const [cause, apply] of Object.entries(causes)) {
    const kept = nextIds(3);
    const [affected = ""] = kept;
    apply(affected);
    const replacement = nextPeer().id;
    t.notOk(kept.has(replacement), `${cause}: another peer is called first`);
    t.notOk(
      cause !== "silent" && nextIds(30).has(affected),
      `${cause}: not kept`,
    );
  }
  membership.setVms([makeVm("a", 1), makeVm("b", 1)]);
  t.equal(nextPeer().id, "b1", "no other daemon in the zone");
  membership.setVms([]);
  t.equal(partners.next("zone"), undefined);
  t.end();
});

t.test("should change partners at different times on daemons that start together", async (t) => {
  const daemons = VMS.slice(0, 20).map(({ id }, n) =>
    createPartners(id, SEED + n)
  );
  const first = daemons.map(({ nextIds }) => nextIds(3));
  const changed = async (ms: number) => {
    await Promise.all(daemons.map(({ clock }) => clock.advance(ms)));
    return daemons.filter(({ nextIds }, n) =>
      [...nextIds(6)].some((id) => !first[n]!.has(id))
    ).length;
  };
  const half = await changed(45_000);
  t.ok(half > 2 && half < 18, `${half} of 20 changed after 45 s`);
  t.equal(await changed(50_000), 20);
});
