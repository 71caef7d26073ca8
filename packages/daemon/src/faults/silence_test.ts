import { FAULT_ZONES, faultTest, waitFor } from "@tanagercove/test_helpers";

faultTest(
  "should notice watches that are never answered again",
  async (t, faultCase) => {
    const { platform } = faultCase.mesh;
    await faultCase.editInForce();
    const silenced = await waitFor(() => platform.silenceWatches());
    t.comment(`${silenced} watches silenced`);
    await faultCase.editInForce();
  },
);

faultTest(
  "should replace all connections that a middle box has lost track of",
  async (_t, faultCase) => {
    const relay = faultCase.mesh.relay!;
    await faultCase.editInForce();
    relay.addRule({
      from: {},
      to: {},
      action: "silent",
      newConnections: "pass",
    });
    await faultCase.editInForce();
    await faultCase.editInForce();
  },
);

faultTest(
  "should catch up when a zone that was silent towards all delivers again",
  async (_t, faultCase) => {
    const { fleet, relay, platform } = faultCase.mesh;
    const others = FAULT_ZONES.slice(1).flatMap((zone) => fleet.zone(zone));
    const silent = relay!.addRule({
      from: { zone: "zone-a" },
      to: {},
      bothWays: true,
      action: "silent",
    });
    const { watch } = platform.calls;
    await faultCase.editInForce(others);
    await waitFor(() => platform.calls.watch >= watch + 8);
    const revision = await faultCase.editInForce(others);
    silent.remove();
    await faultCase.inForce(revision);
    await faultCase.editInForce();
  },
);
