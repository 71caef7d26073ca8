import { setTimeout as sleep } from "node:timers/promises";
import t, { type Test } from "tap";
import { waitFor } from "@tanagercove/test_helpers";
import { configurationAt, ZoneFixture } from "./zone_fixture.ts";

/** Time within which a version must be in force. */
const APPLY_MS = 2_000;

const SAMPLE_MS = 10;

/** Starts a zone in which each daemon is current. */
async function startZone(t: Test, vms: number): Promise<ZoneFixture> {
  const zone = new ZoneFixture();
  t.teardown(() => zone.close());
  zone.platform.putConfiguration(configurationAt(1));
  const addresses = Array.from({ length: vms }, (_, i) => `10.0.0.${i + 1}`);
  for (const address of addresses) zone.register(address);
  for (const address of addresses) zone.start({ address });
  await waitFor(() =>
    zone.daemons.every(({ catalog, sync }) =>
      catalog.upstreams.size === vms && sync.isCurrent
    )
  );
  await waitFor(() =>
    zone.daemons.filter(({ sync }) => sync.reader === undefined).length === 1
  );
  return zone;
}

/** Counts, for some time, how often a daemon is in a state. */
async function countSamples(
  zone: ZoneFixture,
  { durationMs, isCurrent }: {
    readonly durationMs: number;
    readonly isCurrent: boolean;
  },
): Promise<number> {
  const endMs = performance.now() + durationMs;
  let count = 0;
  while (performance.now() < endMs) {
    count += zone.daemons.filter(({ sync }) => sync.isCurrent === isCurrent)
      .length;
    await sleep(SAMPLE_MS);
  }
  return count;
}

// Guards against requests that run twice by a route of an outdated version: after the reader of a cut zone had lost the
// platform, its followers counted as in contact while each of them in turn tried to read it.
for (const vms of [4, 28]) {
  t.test(`should not count as current in a cut zone of ${vms} VMs once a version would have to be in force`, async (t) => {
    const zone = await startZone(t, vms);
    zone.platform.isSilent = true;
    await sleep(APPLY_MS);
    const count = await countSamples(zone, {
      durationMs: 3_000,
      isCurrent: true,
    });
    t.equal(count, 0, "samples of daemons that count as current");
    zone.platform.isSilent = false;
    await waitFor(() => zone.daemons.every(({ sync }) => sync.isCurrent));
  });
}

// Guards against the same where daemons of the zone are silent too, so that each of the others looks for a reader.
t.test("should not count as current in a cut zone whose first readers have lost power", async (t) => {
  const zone = await startZone(t, 12);
  const first = zone.daemons.find(({ sync }) => sync.reader === undefined)!;
  const followers = zone.polls.filter(({ to }) => to === first.address)
    .map(({ from }) => from);
  zone.platform.isSilent = true;
  await zone.kill(first.address, { isSilent: true });
  await zone.kill(followers[0]!, { isSilent: true });
  await sleep(APPLY_MS);
  t.equal(await countSamples(zone, { durationMs: 3_000, isCurrent: true }), 0);
});

// Guards against a lease that is too short for the way down the tree of followers: requests whose answers are lost would
// not be sent again on calm days either.
t.test("should count as current all the time in calm, also while versions come", async (t) => {
  const zone = await startZone(t, 39);
  let version = 1;
  const publishing = setInterval(() => {
    version += 1;
    zone.platform.putConfiguration(configurationAt(version));
  }, 620);
  t.teardown(() => clearInterval(publishing));
  let maxAgeMs = 0;
  const endMs = performance.now() + 6_000;
  while (performance.now() < endMs) {
    const ages = zone.daemons.map(({ sync }) => sync.confirmedAgeMs);
    maxAgeMs = Math.max(maxAgeMs, ...ages);
    await sleep(SAMPLE_MS);
  }
  t.ok(maxAgeMs < APPLY_MS, `age of up to ${Math.round(maxAgeMs)} ms`);
});
