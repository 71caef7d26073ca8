import { faultTest } from "@tanagercove/test_helpers";

faultTest(
  "should bring edits through the other zones to a zone that is cut off from the platform",
  async (_t, faultCase) => {
    const relay = faultCase.mesh.relay!;
    faultCase.cutFromPlatform("zone-a");
    await faultCase.applyEdit();
    await faultCase.waitForRefusedConnection("zone-a", "platform");
    await faultCase.applyEdit();
    relay.clearRules();
    await faultCase.applyEdit();
  },
);

faultTest(
  "should keep serving with the version held in a zone that is cut off from the platform and the other zones, and bring it up to date afterwards",
  async (t, faultCase) => {
    const { fleet } = faultCase.mesh;
    const relay = faultCase.mesh.relay!;
    const isolated = fleet.zone("zone-a");
    const others = [...fleet.zone("zone-b"), ...fleet.zone("zone-c")];
    const before = await faultCase.applyEdit();
    faultCase.cutFromZones("zone-a");
    faultCase.cutFromPlatform("zone-a");
    const revision = await faultCase.applyEdit(others);
    await faultCase.waitForRefusedConnection("zone-a", "platform");
    for (const daemon of isolated) {
      t.equal((await daemon.status()).revision, before);
      t.equal(await faultCase.requestOutcome(daemon, "edit-1"), "answered");
    }
    relay.clearRules();
    await faultCase.expectInForce(revision);
    await faultCase.applyEdit();
  },
);
