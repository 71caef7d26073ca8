import { FAULT_ZONES, faultTest } from "@tanagercove/test_helpers";

faultTest(
  "should distribute an edit after the kill of all daemons that read the platform for a zone",
  async (t, faultCase) => {
    const { fleet } = faultCase.mesh;
    const readers = await faultCase.waitForReaders(fleet.zone("zone-a"));
    t.comment(`readers: ${readers.map(({ id }) => id).join(", ")}`);
    await fleet.kill(readers);
    const revision = await faultCase.applyEdit();
    await fleet.start(readers);
    await faultCase.expectInForce(revision);
  },
);

faultTest(
  "should read a changed list from the platform at most once per reader for each edit, on average",
  async (t, faultCase) => {
    const { platform } = faultCase.mesh;
    await faultCase.applyEdit();
    const { value } = platform.calls;
    const edits = 5;
    for (let edit = 0; edit < edits; edit += 1) await faultCase.applyEdit();
    const readers = 2 * FAULT_ZONES.length;
    const perEdit = (platform.calls.value - value) / edits;
    t.comment(`${perEdit} reads of values per edit`);
    t.ok(perEdit <= readers, "each reader reads only the list that changed");
  },
);
