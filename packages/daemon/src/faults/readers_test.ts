import { FAULT_ZONES, faultTest, waitFor } from "@tanagercove/test_helpers";

faultTest(
  "should distribute an edit after the kill of all daemons that read the platform for a zone",
  async (t, faultCase) => {
    const { fleet, relay } = faultCase.mesh;
    await faultCase.editInForce();
    const before = new Map(watchedBytes());
    await waitFor(() => readersOf("zone-a").length >= 2, {
      what: "two readers in zone-a",
    });
    const readers = readersOf("zone-a");
    t.comment(`readers: ${readers.map(({ id }) => id).join(", ")}`);
    await fleet.kill(readers);
    const revision = await faultCase.editInForce();
    await fleet.start(readers);
    await faultCase.inForce(revision);

    function watchedBytes(): readonly (readonly [string, number])[] {
      return relay!.traffic
        .filter(({ to }) => to === "platform")
        .map(({ from, sentBytes }) => [from, sentBytes]);
    }

    function readersOf(zone: string) {
      const now = new Map(watchedBytes());
      return fleet.zone(zone).filter(({ id }) =>
        (now.get(id) ?? 0) > (before.get(id) ?? 0)
      );
    }
  },
);

faultTest(
  "should call the platform for an edit no more often than its readers need",
  async (t, faultCase) => {
    const { platform } = faultCase.mesh;
    await faultCase.editInForce();
    const { value } = platform.calls;
    const edits = 5;
    for (let edit = 0; edit < edits; edit += 1) await faultCase.editInForce();
    const readers = 2 * FAULT_ZONES.length;
    const perEdit = (platform.calls.value - value) / edits;
    t.comment(`${perEdit} reads of values per edit`);
    t.ok(perEdit <= readers, "each reader reads only the list that changed");
  },
);
