import { setTimeout as sleep } from "node:timers/promises";
import t, { type Test } from "tap";
import { rankByRendezvous } from "@tanagercove/membership";
import { waitFor } from "@tanagercove/test_helpers";
import { configurationAt, ZONE, ZoneFixture } from "./zone_fixture.ts";

/** Time within which a version must be in force. */
const APPLY_MS = 2_000;

/** The VMs of a zone, in the order of their ranks while all links are equal. */
function rankedAddresses(count: number): readonly string[] {
  const addresses = Array.from({ length: count }, (_, i) => `10.0.0.${i + 1}`);
  return rankByRendezvous(ZONE, addresses);
}

function startZone(t: Test): ZoneFixture {
  const zone = new ZoneFixture();
  zone.platform.putConfiguration(configurationAt(1));
  t.teardown(() => zone.close());
  return zone;
}

/** Publishes a version; resolves once all daemons have it, and fails if that takes too long. */
async function publish(zone: ZoneFixture, version: number): Promise<void> {
  zone.platform.putConfiguration(configurationAt(version));
  await waitFor(
    () => zone.daemons.every(({ catalog }) => catalog.version === version),
    { timeoutMs: APPLY_MS },
  );
}

// Guards against a zone that reads the platform no more: the address of its reader went to a VM with a narrow link, and
// that VM and the next wide one followed each other.
t.test("should read the platform after the address of a reader has gone to a VM with a narrow link", async (t) => {
  const addresses = rankedAddresses(6);
  // Neither of the wide VMs is among those that keep the table of links.
  const [lost, other] = [addresses[3]!, addresses[4]!];
  const zone = startZone(t);
  const vms = addresses.map((address) => ({
    address,
    linkMbps: address === lost || address === other ? 100 : 5,
  }));
  for (const { address } of vms) zone.register(address);
  for (const vm of vms) zone.start(vm);
  await waitFor(() =>
    zone.daemons.every(({ links }) =>
      addresses.every((address) => links.linkMbpsOf(address) !== undefined)
    )
  );

  await zone.kill(lost);
  zone.register(lost, 2);
  zone.start({ address: lost, linkMbps: 5 });
  zone.unregister(lost);
  const pollsBefore = zone.polls.length;
  const hasPolled = (from: string, to: string) =>
    zone.polls.slice(pollsBefore).some((poll) =>
      poll.from === from && poll.to === to
    );
  const otherDaemon = zone.daemons.find(({ address }) => address === other)!;
  await waitFor(
    () =>
      hasPolled(lost, other) &&
      (hasPolled(other, lost) || otherDaemon.links.linkMbpsOf(lost) === 5),
    { timeoutMs: 20_000, what: "polls between the wide VMs" },
  );
  await publish(zone, 2);
});

// Guards against a circle of more than two daemons, in which no two follow each other.
t.test("should read the platform although three daemons rank each other in a circle", async (t) => {
  const addresses = rankedAddresses(3);
  const zone = startZone(t);
  const vms = addresses.map((address, i) => ({
    address,
    linkMbpsOf: (other: string) => other === addresses[(i + 1) % 3] ? 100 : 1,
  }));
  for (const { address } of vms) zone.register(address);
  for (const vm of vms) zone.start(vm);
  await waitFor(() =>
    addresses.every((address) =>
      zone.polls.some(({ from }) => from === address)
    )
  );
  for (const version of [2, 3, 4]) await publish(zone, version);
  const readsBefore = zone.platform.calls.filter(({ kind }) => kind === "read");
  const avoided = () =>
    zone.daemons.flatMap(({ events }) =>
      events.filter(({ kind }) => kind === "circle_avoided")
    ).length;
  const avoidedBefore = avoided();
  await waitFor(() => avoided() > avoidedBefore, { timeoutMs: 20_000 });
  const reads = zone.platform.calls.filter(({ kind }) => kind === "read");
  t.equal(
    reads.length,
    readsBefore.length,
    "a refused poll costs no full read",
  );
});

// Guards against a zone that reads the platform no more after a loss of power: with more silent readers than a daemon can
// try before it no longer avoids the first one, it never came to read the platform itself.
t.test("should read the platform soon after most readers of a zone have lost power", async (t) => {
  const addresses = rankedAddresses(39);
  const zone = startZone(t);
  for (const address of addresses) zone.register(address);
  for (const address of addresses) zone.start({ address });
  await waitFor(() =>
    zone.daemons.every(({ sync }, i) =>
      (sync.reader === undefined) === (i === 0)
    )
  );
  const lost = addresses.slice(0, 20);
  await Promise.all(
    lost.map((address) => zone.kill(address, { isSilent: true })),
  );
  await publish(zone, 2);
});

/** Longer than a daemon avoids a reader without contact (4 s), so that readers are tried again meanwhile. */
const OUTAGE_MS = 5_000;

/** Share of a zone of 39 VMs among 195 in the calls that the platform takes. */
const CALLS_PER_SECOND = 2_000 * 39 / 195;

// Guards against daemons that call the platform too often because none of them may follow another one.
t.test("should keep to the platform's rate during an outage, and read from one daemon again after it", async (t) => {
  const addresses = rankedAddresses(39);
  const zone = startZone(t);
  const { platform } = zone;
  for (const address of addresses) zone.register(address);
  for (const address of addresses) zone.start({ address });
  const hasOneReader = () =>
    zone.daemons.filter(({ sync }) => sync.reader === undefined).length === 1;
  await waitFor(hasOneReader);
  platform.isDown = true;
  platform.cutWatches();
  await sleep(OUTAGE_MS);
  platform.isDown = false;
  await publish(zone, 2);
  await waitFor(hasOneReader);
  const times = platform.calls.map(({ atMs }) => atMs);
  const counts = times.map((startMs) =>
    times.filter((atMs) => atMs >= startMs && atMs < startMs + 1_000).length
  );
  t.ok(Math.max(...counts) <= CALLS_PER_SECOND, `${Math.max(...counts)} calls`);
});
