import t from "tap";
import { seededRandom } from "@tanagercove/emulator";
import { Membership } from "@tanagercove/membership";
import { VirtualClock } from "@tanagercove/test_helpers";
import { DigestPartners, type PartnerPlace } from "./digest_partners.ts";
import { vmOf, vmsOf } from "./fleet_fixture.ts";

const SEED = 20_261_204;

const VMS = vmsOf("abcd", 20);

function open(vmId: string, seed = SEED) {
  const clock = new VirtualClock();
  const random = { next: seededRandom(seed) };
  const membership = new Membership({ vmId, zone: "a", clock, random });
  membership.setVms(VMS);
  const partners = new DigestPartners({ membership, clock, random });
  const next = (place: PartnerPlace = "zone") => partners.next(place)!;
  const ids = (count: number, place?: PartnerPlace) =>
    new Set(Array.from({ length: count }, () => next(place).id));
  return { clock, membership, partners, next, ids };
}

t.test("should keep a few partners for some time and meet many peers within minutes", async (t) => {
  const { clock, ids } = open("a1");
  for (const [place, count] of [["zone", 3], ["elsewhere", 2]] as const) {
    const kept = ids(count, place);
    t.equal(kept.size, count);
    await clock.advance(25_000);
    t.strictSame(ids(30, place), kept, "used again");
    // Kept for a minute on average, so 30 or 20 choices out of 19 or 60 in ten minutes.
    for (let n = 0; n < 30; n += 1) {
      await clock.advance(20_000);
      for (const id of ids(6, place)) kept.add(id);
    }
    t.ok(kept.size >= 10, `${kept.size} different partners`);
  }
});

t.test("should replace at once a partner that is silent, suspected, leaving or not listed", (t) => {
  const { membership, partners, next, ids } = open("a1");
  ids(3);
  const losses: Readonly<Record<string, (id: string) => void>> = {
    silent: (id) => partners.drop(membership.peer(id)!),
    suspected: (id) => void membership.recordExchangeFailure(id),
    leaving: (id) =>
      void membership.addNotice({ vmId: id, processId: "p", ageMs: 0 }),
    unlisted: (id) => membership.setVms(VMS.filter((vm) => vm.id !== id)),
  };
  for (const [loss, lose] of Object.entries(losses)) {
    const kept = ids(3);
    const [lost = ""] = kept;
    lose(lost);
    const replacement = next().id;
    t.notOk(kept.has(replacement), `${loss}: another one is called first`);
    t.notOk(loss !== "silent" && ids(30).has(lost), `${loss}: not kept`);
  }
  membership.setVms([vmOf("a", 1), vmOf("b", 1)]);
  t.equal(next().id, "b1", "nobody else in the zone");
  membership.setVms([]);
  t.equal(partners.next("zone"), undefined);
  t.end();
});

t.test("should change partners of daemons that start together at different times", async (t) => {
  const daemons = VMS.slice(0, 20).map(({ id }, n) => open(id, SEED + n));
  const first = daemons.map(({ ids }) => ids(3));
  const changed = async (ms: number) => {
    await Promise.all(daemons.map(({ clock }) => clock.advance(ms)));
    return daemons.filter(({ ids }, n) =>
      [...ids(6)].some((id) => !first[n]!.has(id))
    ).length;
  };
  const half = await changed(45_000);
  t.ok(half > 2 && half < 18, `${half} of 20 changed after 45 s`);
  t.equal(await changed(50_000), 20);
});
