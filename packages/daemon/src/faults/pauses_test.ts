import { faultTest, waitFor } from "@tanagercove/test_helpers";

faultTest(
  "should distribute edits while all daemons of a zone are paused, and bring that zone up to date when they resume",
  async (_t, faultCase) => {
    const { fleet } = faultCase.mesh;
    const zone = fleet.zone("zone-c");
    for (const daemon of zone) daemon.pause();
    for (let edit = 0; edit < 5; edit += 1) await faultCase.applyEdit();
    const revision = faultCase.edit();
    for (const daemon of zone) daemon.resume();
    await faultCase.expectInForce(revision);
  },
);

faultTest(
  "should not spread an old version from daemons that resume one after the other",
  async (t, faultCase) => {
    const { fleet } = faultCase.mesh;
    let newest = 0;
    for (const daemon of fleet.zone("zone-b")) {
      daemon.pause();
      newest = await faultCase.applyEdit();
    }
    for (const daemon of fleet.zone("zone-b")) {
      daemon.resume();
      await faultCase.expectInForce(newest, [daemon]);
    }
    const statuses = await waitFor(() =>
      Promise.all(fleet.daemons.map((daemon) => daemon.status()))
    );
    t.ok(statuses.every(({ revision }) => revision === newest));
  },
);
