import { get } from "node:http";
import t from "tap";
import { Catalog, type CatalogChange } from "@tanagercove/catalog";
import type { Owner } from "./owner.ts";
import { startPeerServer } from "./peer_server.ts";

const ADDRESS = "127.31.7.1";
const PORT = 18_081;

function upstream(id: string, revision: number): CatalogChange {
  const entry = {
    id,
    service: "shop",
    address: "127.31.7.2",
    port: 1,
    zone: "z1",
    slots: 1,
    state: "ready" as const,
    coldMs: 0,
    bornMs: undefined,
  };
  return { kind: "upstream", revision, entry };
}

function configuration(version: number, revision: number): CatalogChange {
  return {
    kind: "configuration",
    revision,
    configuration: {
      version,
      limits: {
        maxHeaderBytes: 1,
        maxBodyBytes: 1,
        headerTimeoutMs: 1,
        idleTimeoutMs: 1,
      },
      services: [],
      routes: [],
    },
  };
}

function readKinds(query: string): Promise<string[]> {
  return new Promise((resolve, reject) => {
    get(
      `http://${ADDRESS}:${PORT}/-/tanagercove/catalog?${query}`,
      { agent: false },
      (response) => {
        let text = "";
        response.on("data", (chunk) => text += chunk);
        response.on("end", () => {
          const { changes } = JSON.parse(text) as {
            changes: readonly CatalogChange[];
          };
          resolve(changes.map(({ kind }) => kind));
        });
      },
    ).on("error", reject);
  });
}

// Guards against the end of the process when many daemons on narrow links read a catalog at once. Each unsent answer
// was a string of its own in a heap of 48 MB, and the close of all connections lost requests.
t.test("should serialize the catalog once for all daemons that read the same state of it", async (t) => {
  const catalog = new Catalog();
  catalog.apply([configuration(3, 1), upstream("i-1", 2)]);
  let serialized = 0;
  const snapshot = catalog.snapshot.bind(catalog);
  catalog.snapshot = (version) => {
    serialized += 1;
    return snapshot(version);
  };
  const listener = await startPeerServer({
    address: ADDRESS,
    ports: [PORT],
    names: {
      requestId: "id",
      timeLeftMs: "left",
      signature: "signature",
      upstreamId: "upstream",
      answeringUpstreamId: "answering",
      load: "load",
      notRun: "not-run",
      callerService: "caller",
    },
    owner: {} as Owner,
    catalog,
    feedId: "f",
    isInContact: () => true,
    state: () => {
      throw new Error("No request is forwarded");
    },
    accepts: () => false,
    isLeaving: () => false,
    maxBodyBytes: () => 1,
    onForwarded() {},
  });
  t.teardown(() => listener.close());
  const withoutConfiguration = "version=3&change_revision=1";
  const withConfiguration = "version=2&change_revision=1";
  const readAll = (query: string) =>
    Promise.all(Array.from({ length: 10 }, () => readKinds(query)));
  for (const kinds of await readAll(withConfiguration)) {
    t.same(kinds, ["upstream", "configuration"]);
  }
  for (const kinds of await readAll(withoutConfiguration)) {
    t.same(kinds, ["upstream"]);
  }
  await readAll(withConfiguration);
  t.equal(serialized, 2);
  catalog.apply([upstream("i-2", 3)]);
  t.same(await readKinds(withoutConfiguration), ["upstream", "upstream"]);
  catalog.apply([configuration(4, 4)]);
  t.same(await readKinds("version=3&change_revision=3"), [
    "upstream",
    "upstream",
    "configuration",
  ]);
});
