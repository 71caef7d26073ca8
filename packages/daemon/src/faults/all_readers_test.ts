import {
  FAULT_ZONES,
  faultTest,
  IN_FORCE_BOUND_MS,
} from "@tanagercove/test_helpers";

faultTest(
  "should replace the readers of all zones when they are killed together, right after a confirmation",
  async (t, faultCase) => {
    const { fleet } = faultCase.mesh;
    const readers = await faultCase.waitForReaders(fleet.daemons);
    t.equal(readers.length, 2 * FAULT_ZONES.length);
    // All readers have just confirmed the version, so other daemons notice their death as late as possible.
    await fleet.waitUntilInForce(faultCase.edit(), {
      timeoutMs: IN_FORCE_BOUND_MS,
    });
    await fleet.kill(readers);
    await faultCase.applyEdit();
  },
);
