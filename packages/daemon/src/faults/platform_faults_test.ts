import { faultTest, waitFor } from "@tanagercove/test_helpers";

faultTest(
  "should bring a restarted daemon to the fleet's version during a platform outage, and distribute an edit after it",
  async (_t, faultCase) => {
    const { fleet, platform } = faultCase.mesh;
    const before = await faultCase.applyEdit();
    platform.setMode("outage");
    const { unavailable } = platform.calls;
    await waitFor(() => platform.calls.unavailable >= unavailable + 10);
    const [restarted] = fleet.daemons;
    await restarted!.kill();
    await restarted!.start();
    await faultCase.expectInForce(before, [restarted!]);
    const revision = faultCase.edit();
    platform.setMode("normal");
    await faultCase.expectInForce(revision);
  },
);

faultTest(
  "should keep the newer version on all daemons, also on a restarted one, while the platform is stale",
  async (t, faultCase) => {
    const { fleet, platform } = faultCase.mesh;
    const stale = await faultCase.applyEdit();
    const newer = await faultCase.applyEdit();
    platform.setMode("stale", { staleRevision: stale });
    const { total } = platform.calls;
    const [restarted] = fleet.zone("zone-b");
    await restarted!.kill();
    await restarted!.start();
    await faultCase.expectInForce(newer);
    await waitFor(() => platform.calls.total >= total + 10);
    for (const daemon of fleet.daemons) {
      t.equal((await daemon.status()).revision, newer);
    }
    platform.setMode("normal");
    await faultCase.applyEdit();
  },
);
