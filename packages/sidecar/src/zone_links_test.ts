import t from "tap";
import fc from "fast-check";
import { chooseReader } from "@tanagercove/catalog";
import { waitFor } from "@tanagercove/test_helpers";
import { higherRankedReaders } from "./daemon_addresses.ts";
import { ZoneLinks } from "./zone_links.ts";

const SEED = 20_261_204;

// Guards against all versions of a zone arriving over one of its narrowest links.
t.test("should rank wider links higher, and equal links in the common order", (t) => {
  const links: Readonly<Record<string, number>> = { a: 5, b: 70, c: 5, d: 100 };
  const rank = (ownAddress: string) =>
    higherRankedReaders({
      ownAddress,
      zoneAddresses: ["a", "unknown", "b", "c", "d"],
      linkMbpsOf: (address) => links[address],
    });
  t.same(rank("d"), []);
  t.same(rank("b"), ["d"]);
  t.same(rank("a"), ["d", "b"]);
  t.same(rank("c"), ["d", "b", "a"]);
  t.end();
});

// Guards against daemons that follow each other and all take themselves to be in contact with the platform.
t.test("should never make daemons follow each other in a circle, whatever each knows of the others", (t) => {
  const zone = fc.array(
    fc.record({
      linkMbps: fc.constantFrom(3.5, 5, 70),
      knows: fc.array(fc.boolean(), { minLength: 12, maxLength: 12 }),
      avoids: fc.array(fc.boolean(), { minLength: 12, maxLength: 12 }),
    }),
    { minLength: 2, maxLength: 12 },
  );
  fc.assert(
    fc.property(zone, (daemons) => {
      const addresses = daemons.map((_, i) => String(i));
      const readers = daemons.map(({ knows, avoids }, own) =>
        chooseReader({
          higherRanked: higherRankedReaders({
            ownAddress: String(own),
            zoneAddresses: addresses,
            linkMbpsOf: (address) =>
              knows[Number(address)] || Number(address) === own
                ? daemons[Number(address)]!.linkMbps
                : undefined,
          }),
          isAvoided: (reader) => avoids[Number(reader)]!,
        })
      );
      for (const start of daemons.keys()) {
        let reader: string | undefined = String(start);
        for (let hops = 0; reader !== undefined; hops += 1) {
          if (hops > daemons.length) return false;
          reader = readers[Number(reader)];
        }
      }
      return true;
    }),
    { seed: SEED },
  );
  t.end();
});

t.test("should learn the links of all VMs of the zone, also if the first keeper does not answer", async (t) => {
  const addresses = ["a", "b", "c", "d", "e"];
  const daemons = new Map<string, ZoneLinks>();
  for (const [i, ownAddress] of addresses.entries()) {
    const ownLinkMbps = 10 * (i + 1);
    daemons.set(
      ownAddress,
      new ZoneLinks({
        ownAddress,
        ownLinkMbps,
        zoneAddresses: () => addresses.filter((address) => address !== "e"),
        exchange(address) {
          if (address === "a") return Promise.resolve(undefined);
          daemons.get(address)!.record(ownAddress, ownLinkMbps);
          return Promise.resolve(daemons.get(address)!.table());
        },
      }),
    );
  }
  const running = ["b", "c", "d"].map((address) => daemons.get(address)!);
  t.teardown(() => Promise.all(running.map((links) => links.close())));
  for (const links of running) links.start();
  await waitFor(() =>
    running.every((links) =>
      ["b", "c", "d"].every((address) =>
        links.linkMbpsOf(address) !== undefined
      )
    )
  );
  t.same(running[0]!.table(), { b: 20, c: 30, d: 40 });
  running[0]!.record("b", 1);
  t.equal(running[0]!.linkMbpsOf("b"), 20, "its own link is known best");
});
