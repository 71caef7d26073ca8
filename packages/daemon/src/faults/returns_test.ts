import { faultTest } from "@tanagercove/test_helpers";

faultTest(
  "should bring two of three zones to the newest version when their daemons are killed and restart together",
  async (_t, faultCase) => {
    const { fleet } = faultCase.mesh;
    const killed = [...fleet.zone("zone-a"), ...fleet.zone("zone-c")];
    await fleet.kill(killed);
    const revision = faultCase.edit();
    await faultCase.expectInForce(revision);
    await fleet.start(killed);
    await faultCase.expectInForce(revision);
    await faultCase.applyEdit();
  },
);

faultTest(
  "should not fall below the fleet's version when all but two daemons are killed and restart while the platform is stale",
  async (_t, faultCase) => {
    const { fleet, platform } = faultCase.mesh;
    const before = await faultCase.applyEdit();
    const revision = await faultCase.applyEdit();
    const [, ...killed] = fleet.daemons;
    await fleet.kill(killed.slice(0, -1));
    // Restarted daemons read an old state from the platform and must get the newer one from a survivor.
    platform.setMode("stale", { staleRevision: before });
    await fleet.start(killed.slice(0, -1));
    await faultCase.expectInForce(revision);
    platform.setMode("normal");
    await faultCase.applyEdit();
  },
);
