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
    // Once this edit is in force, the platform has just confirmed it to all readers. The other daemons then notice
    // the death of the readers as late as possible.
    await fleet.waitUntilInForce(faultCase.edit(), {
      timeoutMs: IN_FORCE_BOUND_MS,
    });
    await fleet.kill(readers);
    await faultCase.applyEdit();
  },
);
