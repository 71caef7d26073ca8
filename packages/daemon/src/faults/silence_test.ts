import { FAULT_ZONES, faultTest, waitFor } from "@tanagercove/test_helpers";

faultTest(
  "should distribute an edit although the platform never answers the readers' open long polls",
  async (t, faultCase) => {
    const { platform } = faultCase.mesh;
    await faultCase.applyEdit();
    const readers = 2 * FAULT_ZONES.length;
    await waitFor(() => platform.waitingWatches === readers);
    t.equal(platform.silenceWatches(), readers);
    await faultCase.applyEdit();
  },
);

faultTest(
  "should distribute edits over new connections after all open ones have become silent",
  async (_t, faultCase) => {
    const relay = faultCase.mesh.relay!;
    await faultCase.applyEdit();
    relay.addRule({
      from: {},
      to: {},
      action: "silent",
      newConnections: "pass",
    });
    await faultCase.applyEdit();
    await faultCase.applyEdit();
  },
);

faultTest(
  "should bring a zone up to date after all its connections were silent",
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
    await faultCase.applyEdit(others);
    await waitFor(() => platform.calls.watch >= watch + 8);
    const revision = await faultCase.applyEdit(others);
    silent.remove();
    await faultCase.expectInForce(revision);
    await faultCase.applyEdit();
  },
);
