import t, { type Test } from "tap";
import { seededRandom } from "@tanagercove/emulator";
import { Fleet, makeVms } from "./fleet_fixture.ts";

const SEED = 20_261_204;

/** 15 zones in 4 regions, as the fleet is designed for. */
const REGIONS = ["abcd", "efgh", "ijkl", "mno"] as const;
const ALL_ZONES = REGIONS.join("");
const PER_ZONE = 4;
const VM_COUNT = ALL_ZONES.length * PER_ZONE;

/** Longer than every backoff and digest partnership. An hour would take a minute of processor time. */
const PARTITION_MS = 600_000;

/** Time in which a version must be in force everywhere. */
const IN_FORCE_MS = 3_000;

async function startFleetOfRegions(t: Test) {
  const fleet = new Fleet(t, makeVms(ALL_ZONES, PER_ZONE));
  t.comment(`seed ${SEED}`);
  fleet.random = seededRandom(SEED);
  fleet.startAll();
  await fleet.clock.advance(4_000);
  t.equal(fleet.countAt(fleet.platform.revision), VM_COUNT);
  return fleet;
}

/** Cuts a region off from the platform, and from all zones outside it except `bridge`, if given. */
function cutRegion(
  fleet: Fleet,
  { region, bridge = "" }: {
    readonly region: string;
    readonly bridge?: string;
  },
): void {
  const zoneOf = new Map(fleet.vms.map(({ address, zone }) => [address, zone]));
  for (const { id, zone } of fleet.vms) {
    if (region.includes(zone)) fleet.withoutPlatform.add(id);
  }
  fleet.network.fault = ({ from, to }) => {
    const zones = [zoneOf.get(from) ?? "", zoneOf.get(to) ?? ""];
    const inside = zones.filter((zone) => region.includes(zone));
    if (inside.length !== 1) return undefined;
    return zones.includes(bridge) ? undefined : "silent";
  };
}

// Guards against a region that keeps its digest partners from before the cut, although all of them are
// unreachable or as out of date as itself.
t.test("should keep a region up to date that can reach only one zone outside it and not the platform", async (t) => {
  const fleet = await startFleetOfRegions(t);
  cutRegion(fleet, { region: REGIONS[3], bridge: "a" });
  await fleet.clock.advance(60_000);
  for (const entry of ["d", "e", "f"]) {
    const revision = fleet.platform.publish("plans", `${entry} = p\n`);
    await fleet.clock.advance(IN_FORCE_MS);
    t.equal(fleet.countAt(revision), VM_COUNT);
    await fleet.clock.advance(5_000);
  }
});

// Guards against a region that catches up slowly after a long partition.
t.test("should bring a region up to date from other zones within 3 s after a partition of ten minutes", async (t) => {
  const fleet = await startFleetOfRegions(t);
  cutRegion(fleet, { region: REGIONS[3] });
  const revision = fleet.platform.publish("plans", "d = p\n");
  await fleet.clock.advance(PARTITION_MS);
  const inRegion = REGIONS[3].length * PER_ZONE;
  t.equal(fleet.countAt(revision), VM_COUNT - inRegion);
  fleet.network.fault = () => undefined;
  await fleet.clock.advance(IN_FORCE_MS);
  t.equal(fleet.countAt(revision), VM_COUNT, "caught up from other zones only");
});
