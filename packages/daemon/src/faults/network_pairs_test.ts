import { faultTest } from "@tanagercove/test_helpers";

faultTest(
  "should reach a zone without the platform when daemons of another zone are killed",
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
  "should refuse a bad version that is published while zones are cut and connections are lost",
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
