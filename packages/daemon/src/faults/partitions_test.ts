import { FAULT_ZONES, faultTest } from "@tanagercove/test_helpers";

faultTest(
  "should distribute edits while a zone is cut from the others, and after it",
  async (_t, faultCase) => {
    const relay = faultCase.mesh.relay!;
    faultCase.cutFromZones("zone-a");
    await faultCase.applyEdit();
    await faultCase.waitForRefusedConnection("zone-a", { zone: "zone-b" });
    await faultCase.applyEdit();
    relay.clearRules();
    await faultCase.applyEdit();
  },
);

faultTest(
  "should distribute an edit while all zones are cut from each other",
  async (_t, faultCase) => {
    const relay = faultCase.mesh.relay!;
    for (const zone of FAULT_ZONES) faultCase.cutFromZones(zone);
    await faultCase.applyEdit();
    relay.clearRules();
    await faultCase.applyEdit();
  },
);
