import t from "tap";
import fc from "fast-check";
import { answerFeedRequest, Catalog, chooseReader } from "@tanagercove/catalog";
import { waitFor } from "@tanagercove/test_helpers";
import { higherRankedReaders } from "./daemon_addresses.ts";
import { type LinkTable, ZoneLinks } from "./zone_links.ts";

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

// Guards against an order of ranks by which daemons follow each other, if all that they know of the links is true.
t.test("should never make daemons follow each other in a circle, whatever each knows of the others", (t) => {
  const zone = fc.array(
    fc.record({
      linkMbps: fc.constantFrom(3.5, 5, 70),
      knows: fc.array(fc.boolean(), { minLength: 12, maxLength: 12 }),
      lists: fc.array(fc.boolean(), { minLength: 12, maxLength: 12 }),
      avoids: fc.array(fc.boolean(), { minLength: 12, maxLength: 12 }),
    }),
    { minLength: 2, maxLength: 12 },
  );
  fc.assert(
    fc.property(zone, (daemons) => {
      const addresses = daemons.map((_, i) => String(i));
      const readers = daemons.map(({ knows, lists, avoids }, own) =>
        chooseReader({
          higherRanked: higherRankedReaders({
            ownAddress: String(own),
            zoneAddresses: addresses.filter((_, i) => lists[i] || i === own),
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

/** A daemon in a model of a zone. */
interface ModelDaemon {
  readonly address: string;
  /** What it takes for the link of each VM, right or wrong; undefined if it knows none. */
  readonly believedMbps: readonly (number | undefined)[];
  readonly ownMbps: number;
  /** VMs that its catalog lists. */
  readonly lists: readonly boolean[];
  readonly avoided: Set<string>;
  reader: string | undefined;
  readers: readonly string[];
}

// Guards against a zone in which no daemon reads the platform. Once the address of a lost VM belonged to another one, two
// daemons ranked each other above themselves, and each took the answers of the other for contact to the platform.
t.test("should leave no circle of daemons that count as in contact, whatever each believes of the others", async () => {
  const link = fc.constantFrom(3.5, 5, 70);
  const perVm = { minLength: 8, maxLength: 8 };
  const zone = fc.array(
    fc.record({
      ownMbps: link,
      believedMbps: fc.array(fc.option(link, { nil: undefined }), perVm),
      lists: fc.array(fc.boolean(), perVm),
    }),
    { minLength: 2, maxLength: 8 },
  );
  await fc.assert(
    fc.asyncProperty(zone, async (beliefs) => {
      const daemons = beliefs.map((belief, i): ModelDaemon => ({
        ...belief,
        address: String(i),
        avoided: new Set(),
        reader: undefined,
        readers: [],
      }));
      for (let round = 0; round < daemons.length ** 2; round += 1) {
        for (const daemon of daemons) await synchronize(daemon, daemons);
      }
      return daemons.every((daemon) => reachesPlatform(daemon, daemons));
    }),
    { seed: SEED },
  );
});

/** Lets a daemon of the model follow the first reader that it does not avoid and that may be followed. */
async function synchronize(
  daemon: ModelDaemon,
  daemons: readonly ModelDaemon[],
): Promise<void> {
  const { address, avoided, believedMbps, ownMbps, lists } = daemon;
  const zone = daemons.map((other) => other.address);
  const higherRanked = higherRankedReaders({
    ownAddress: address,
    zoneAddresses: zone.filter((other, i) => lists[i] || other === address),
    linkMbpsOf: (other) =>
      other === address ? ownMbps : believedMbps[Number(other)],
  });
  for (;;) {
    const reader = chooseReader({
      higherRanked,
      isAvoided: (other) => avoided.has(other),
    });
    daemon.reader = reader;
    if (reader === undefined) {
      daemon.readers = [];
      return;
    }
    const { isInContact, readers = [] } = await answerFeedRequest({
      catalog: new Catalog(),
      feedId: "f",
      request: {
        follower: address,
        version: 0,
        feedId: "",
        position: 0,
        waitMs: 0,
      },
      isInContact: () => true,
      readers: () => daemons[Number(reader)]!.readers,
      confirmedAgeMs: () => Infinity,
      confirmation: () => 0,
    });
    if (isInContact) {
      daemon.readers = [reader, ...readers];
      return;
    }
    avoided.add(reader);
  }
}

function reachesPlatform(
  { reader }: ModelDaemon,
  daemons: readonly ModelDaemon[],
): boolean {
  let next = reader;
  for (let hops = 0; next !== undefined; hops += 1) {
    if (hops > daemons.length) return false;
    next = daemons[Number(next)]!.reader;
  }
  return true;
}

// Guards against a link that outlives its VM: the address of a lost VM was taken for as wide as before, for as long as
// another VM used it.
t.test("should take the link that the VM of an address has told last", async (t) => {
  const addresses = ["keeper-1", "keeper-2", "own", "moved"];
  const exchanged: string[] = [];
  const tables: Readonly<Record<string, LinkTable>> = {
    "keeper-1": { moved: { linkMbps: 100, toldMsAgo: 9_000 } },
    "keeper-2": { moved: { linkMbps: 5, toldMsAgo: 20 } },
  };
  const links = new ZoneLinks({
    ownAddress: "own",
    ownLinkMbps: 5,
    zoneAddresses: () => addresses,
    exchange(address) {
      exchanged.push(address);
      return Promise.resolve(tables[address]);
    },
  });
  t.teardown(() => links.close());
  links.start();
  await waitFor(() => links.linkMbpsOf("moved") === 100);
  await waitFor(() => links.linkMbpsOf("moved") === 5);
  const before = exchanged.length;
  links.refresh();
  await waitFor(() => exchanged.slice(before).includes("keeper-1"));
  t.equal(links.linkMbpsOf("moved"), 5, "the older value changes nothing");
  t.same(links.table().own, { linkMbps: 5, toldMsAgo: 0 });
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
  const bandwidths = Object.entries(running[0]!.table())
    .map(([address, { linkMbps }]) => [address, linkMbps]);
  t.same(Object.fromEntries(bandwidths), { b: 20, c: 30, d: 40 });
  running[0]!.record("b", 1);
  t.equal(running[0]!.linkMbpsOf("b"), 20, "its own link is known best");
});
