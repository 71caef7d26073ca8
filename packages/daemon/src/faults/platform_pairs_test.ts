import { faultTest } from "@tanagercove/test_helpers";

faultTest(
  "should bring a zone whose daemons are killed and restart to the fleet's version during a platform outage",
  async (_t, faultCase) => {
    const { fleet, platform } = faultCase.mesh;
    const before = await faultCase.applyEdit();
    platform.setMode("outage");
    await fleet.kill(fleet.zone("zone-a"));
    await fleet.start(fleet.zone("zone-a"));
    await faultCase.expectInForce(before);
    const revision = faultCase.edit();
    platform.setMode("normal");
    await faultCase.expectInForce(revision);
  },
);

faultTest(
  "should bring a resumed zone to the fleet's version while the platform is stale",
  async (t, faultCase) => {
    const { fleet, platform } = faultCase.mesh;
    const stale = await faultCase.applyEdit();
    const zone = fleet.zone("zone-b");
    for (const daemon of zone) daemon.pause();
    const newer = await faultCase.applyEdit();
    platform.setMode("stale", { staleRevision: stale });
    for (const daemon of zone) daemon.resume();
    await faultCase.expectInForce(newer);
    platform.setMode("normal");
    const revision = await faultCase.applyEdit();
    t.ok(revision > newer);
  },
);
