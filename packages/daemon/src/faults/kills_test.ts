import { faultTest } from "@tanagercove/test_helpers";

faultTest(
  "should distribute an edit after the kill of each daemon of a zone in turn, a reader or not",
  async (t, faultCase) => {
    const { fleet } = faultCase.mesh;
    for (const daemon of fleet.zone("zone-a")) {
      await daemon.kill();
      const revision = await faultCase.applyEdit();
      await daemon.start();
      await faultCase.expectInForce(revision, [daemon]);
    }
    t.equal(fleet.active.length, 9);
  },
);

faultTest(
  "should bring a zone whose daemons are killed and restart together to the newest version",
  async (_t, faultCase) => {
    const { fleet } = faultCase.mesh;
    const zone = fleet.zone("zone-b");
    await faultCase.applyEdit();
    await fleet.kill(zone);
    const revision = await faultCase.applyEdit();
    await fleet.start(zone);
    await faultCase.expectInForce(revision);
    await faultCase.applyEdit();
  },
);
