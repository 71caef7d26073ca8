import { faultTest } from "@tanagercove/test_helpers";

faultTest(
  "should bring an edit to a zone that is cut off from the platform while two daemons of another zone are down",
  async (_t, faultCase) => {
    const { fleet, relay } = faultCase.mesh;
    faultCase.cutFromPlatform("zone-a");
    const killed = fleet.zone("zone-b").slice(0, 2);
    await fleet.kill(killed);
    const revision = await faultCase.applyEdit();
    await fleet.start(killed);
    await faultCase.expectInForce(revision);
    relay!.clearRules();
    await faultCase.applyEdit();
  },
);

faultTest(
  "should refuse a bad version that is published while a zone is cut off from the others and open connections are silent",
  async (_t, faultCase) => {
    const { platform } = faultCase.mesh;
    const relay = faultCase.mesh.relay!;
    faultCase.cutFromZones("zone-a");
    relay.addRule({
      from: {},
      to: {},
      action: "silent",
      newConnections: "pass",
    });
    platform.publish("allowances", "full swatches\n");
    platform.publish("allowances", "basic = swatches\nfull = swatches\n");
    const revision = faultCase.edit();
    relay.clearRules();
    await faultCase.expectInForce(revision);
  },
);
