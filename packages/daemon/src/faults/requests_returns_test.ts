import { requestFaultTest, SERVICE_TIME_MS } from "@tanagercove/test_helpers";

/** Long enough for a busy test machine, so that requests fail only if they are refused or lost. */
const DEADLINE_MS = 5_000;

/**
 * Slots of each upstream. A daemon with as many requests in flight on an upstream counts it as saturated and
 * may send further ones to another zone. The load cannot cause that: a daemon gets 8 requests a second, so at
 * most 40 are in flight within the deadline.
 */
const SLOTS = 100;

// Guards against daemons that restart together and disturb other zones or attract their requests.
requestFaultTest(
  "should serve callers of the other zones without interruption when a zone's daemons are killed and restart together",
  async (t, faultCase) => {
    const { fleet, vms } = faultCase.mesh;
    const zone = fleet.zone("zone-a");
    const otherDaemons = fleet.daemons.filter((daemon) =>
      !zone.includes(daemon)
    );
    faultCase.startLoad(fleet.daemons, { deadlineMs: DEADLINE_MS });
    const posts = await faultCase.startSlowPosts("reservations-1-1", {
      caller: "reservations-1-2",
      serviceTimeMs: DEADLINE_MS,
    });
    await fleet.kill(zone);
    t.same(
      await posts.outcomes,
      posts.ids.map(() => "none"),
      "POSTs were running at the kill",
    );
    for (const { id } of otherDaemons) {
      await faultCase.waitForCall(
        `answer of ${id} while the zone is down`,
        ({ daemonId, outcome }) => daemonId === id && outcome === "answered",
      );
    }
    await fleet.start(zone);
    await faultCase.expectServedAgain(fleet.daemons, "the return");

    const callsOfOthers = faultCase.calls.filter(({ daemonId }) =>
      otherDaemons.some(({ id }) => id === daemonId)
    );
    const unserved = callsOfOthers.filter(({ outcome }) =>
      outcome !== "answered"
    );
    t.same(unserved, [], "callers of the other zones are always served");
    const zoneOf = new Map(vms.map(({ id, zone }) => [id, zone]));
    const zoneByCall = new Map(
      callsOfOthers.map(({ id, daemonId }) => [id, zoneOf.get(daemonId)]),
    );
    const misrouted = vms.flatMap((vm) =>
      faultCase.executions(vm.id).filter(({ id }) =>
        zoneByCall.has(id) && zoneByCall.get(id) !== vm.zone
      )
    );
    t.same(misrouted, [], "they are served by upstreams of their own zone");
  },
  {
    settings: { upstream: { slots: SLOTS } },
    upstreamOptions: () => ({
      slots: SLOTS,
      serviceTime: { shape: "fixed", meanMs: SERVICE_TIME_MS },
    }),
  },
);
