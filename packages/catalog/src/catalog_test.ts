import t from "tap";
import type {
  Route,
  RouteConfiguration,
  UpstreamEntry,
} from "@tanagercove/types";
import {
  answerFeedRequest,
  applyConfigurationDelta,
  applyConfigurationUpdate,
  Catalog,
  type CatalogChange,
  configurationUpdateFrom,
  diffConfigurations,
} from "./index.ts";

function entry(
  id: string,
  options: Partial<UpstreamEntry> = {},
): UpstreamEntry {
  return {
    id,
    service: "shop",
    address: "10.0.0.1",
    port: 80,
    zone: "a",
    slots: 4,
    state: "ready",
    coldMs: 0,
    bornMs: 1,
    ...options,
  };
}

const upstream = (
  id: string,
  revision: number,
  options: Partial<UpstreamEntry> = {},
): CatalogChange => ({
  kind: "upstream",
  revision,
  entry: entry(id, options),
});

function route(name: string, service = "shop"): Route {
  return {
    name,
    host: "shop.example",
    prefix: `/${name}/`,
    requestClass: "idempotent",
    latencyObjectiveMs: 500,
    priority: 1,
    targets: [{ service, weight: 1 }],
    timeoutMs: 1_000,
    maxAttempts: 2,
  };
}

function version(
  number: number,
  routes: readonly Route[] = [],
): RouteConfiguration {
  return {
    version: number,
    routes,
    services: [],
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  };
}

const configuration = (number: number, revision: number): CatalogChange => ({
  kind: "configuration",
  revision,
  configuration: version(number),
});

t.test("should never go back to an older version, even if updates arrive late", (t) => {
  const catalog = new Catalog();
  catalog.apply([configuration(7, 20)]);
  catalog.apply([configuration(4, 10)]);
  catalog.replace({ revision: 30, changes: [configuration(6, 15)] });
  t.equal(catalog.version, 7);
  t.end();
});

t.test("should not let a late update bring back a removed upstream", (t) => {
  const catalog = new Catalog();
  catalog.apply([upstream("u1", 5)]);
  catalog.apply([{ kind: "upstream_removed", revision: 9, id: "u1" }]);
  catalog.apply([upstream("u1", 5)]);
  t.equal(catalog.upstreams.size, 0);
  catalog.apply([upstream("u1", 12)]);
  t.equal(catalog.upstreams.size, 1);
  t.end();
});

t.test("should not let an older state of an entry replace a newer one", (t) => {
  const catalog = new Catalog();
  catalog.apply([upstream("u1", 8, { state: "draining" })]);
  catalog.apply([upstream("u1", 5)]);
  t.equal(catalog.upstreams.get("u1")!.entry.state, "draining");
  t.end();
});

t.test("should keep entries that expired during an outage until they have had time to return", (t) => {
  const catalog = new Catalog();
  catalog.apply([upstream("u1", 5), upstream("u2", 6)]);
  catalog.replace({ revision: 20, changes: [] }, { deferRemovals: true });
  t.equal(catalog.upstreams.size, 2);
  catalog.apply([upstream("u1", 22)]);
  catalog.applyDeferredRemovals();
  t.same([...catalog.upstreams.keys()], ["u1"]);
  t.end();
});

t.test("should drop an upstream whose entry becomes unreadable, and only that one", (t) => {
  const catalog = new Catalog();
  catalog.apply([upstream("u1", 5), upstream("u2", 6)]);
  catalog.apply([{
    kind: "unreadable",
    revision: 9,
    key: "u1",
    upstreamId: "u1",
    problem: "no slots",
  }]);
  t.same([...catalog.upstreams.keys()], ["u2"]);
  t.end();
});

t.test("should treat a new instance with the same id as newly seen", (t) => {
  let nowMs = 0;
  const catalog = new Catalog({ nowMs: () => nowMs });
  catalog.apply([upstream("u1", 5)]);
  nowMs = 1_000;
  catalog.apply([upstream("u1", 6, { coldMs: 10 })]);
  t.equal(catalog.upstreams.get("u1")!.seenAtMs, 0);
  catalog.apply([upstream("u1", 7, { bornMs: 900 })]);
  t.equal(catalog.upstreams.get("u1")!.seenAtMs, 1_000);
  t.end();
});

// Guards against an upstream that becomes cold again without a restart and is taken for warm, and against one that stays
// cold for ever because its entry is written again.
t.test("should count a cold time from the entry that brings it", (t) => {
  let nowMs = 0;
  const catalog = new Catalog({ nowMs: () => nowMs });
  const coldUntilMs = () => catalog.upstreams.get("u1")!.coldUntilMs;
  catalog.apply([upstream("u1", 5)]);
  nowMs = 5_000;
  catalog.apply([upstream("u1", 6, { coldMs: 3_000 })]);
  t.equal(coldUntilMs(), 8_000);
  nowMs = 6_000;
  catalog.apply([upstream("u1", 7, { coldMs: 3_000, state: "draining" })]);
  t.equal(coldUntilMs(), 8_000, "the same time, written again");
  nowMs = 7_000;
  catalog.apply([upstream("u1", 8, { coldMs: 0 })]);
  t.equal(coldUntilMs(), 7_000);
  t.end();
});

t.test("should turn one version into the next by a delta", (t) => {
  const from = version(1, [route("a"), route("b"), route("c")]);
  const to = version(3, [route("a"), route("b", "other"), route("d")]);
  const delta = diffConfigurations({ from, to });
  t.same(delta.changed.map(({ name }) => name), ["b", "d"]);
  t.same(delta.removed, ["shop.example/c/"]);
  const byName = (a: Route, b: Route) => a.name < b.name ? -1 : 1;
  const applied = applyConfigurationDelta(from, delta);
  t.same([...applied.routes].sort(byName), to.routes);
  t.equal(applied.version, 3);
  t.end();
});

t.test("should update any held version to the one in force, by a delta where that is smaller", (t) => {
  const routes = ["a", "b", "c", "d"].map((name) => route(name));
  const source = new Catalog();
  for (const number of [1, 2, 3, 4, 5, 6]) {
    const changed = route(`new-${number}`);
    source.apply([{
      kind: "configuration",
      revision: number,
      configuration: version(number, [...routes, changed]),
    }]);
  }
  for (const held of [0, 1, 5]) {
    const target = new Catalog();
    if (held > 0) {
      target.apply([{
        kind: "configuration",
        revision: held,
        configuration: version(held, [...routes, route(`new-${held}`)]),
      }]);
    }
    const update = configurationUpdateFrom(source, held)!;
    t.equal(update.kind, held === 5 ? "delta" : "whole", `from ${held}`);
    applyConfigurationUpdate(target, update);
    t.same(
      target.index!.configuration.routes.map(({ name }) => name),
      ["a", "b", "c", "d", "new-6"],
    );
    t.equal(target.configurationRevision, 6);
  }
  t.equal(configurationUpdateFrom(source, 6), undefined);
  t.end();
});

// Guards against daemons that fetch all upstreams again with every answer of another daemon.
t.test("should know a removal from a snapshot as known, so that it is not fetched again", (t) => {
  const source = new Catalog();
  source.apply([upstream("u1", 5), upstream("u2", 6)]);
  const target = new Catalog();
  target.replace(source.snapshot());
  source.apply([{ kind: "upstream_removed", revision: 9, id: "u2" }]);
  source.advance(9);
  target.replace(source.snapshot());
  t.same([...target.upstreams.keys()], ["u1"]);
  t.equal(target.upstreamRevision, source.upstreamRevision);
  t.equal(target.changeRevision, source.changeRevision);
  t.end();
});

t.test("should send a follower only changes that are new to it, and everything to an unknown follower", async (t) => {
  const catalog = new Catalog();
  catalog.apply([upstream("u1", 5), configuration(1, 6)]);
  const poll = (feedId: string, position: number, version: number) =>
    answerFeedRequest({
      catalog,
      feedId: "run-1",
      request: { version, feedId, position, waitMs: 10 },
      isInContact: () => true,
      readers: () => [],
      confirmedAgeMs: () => Infinity,
      confirmation: () => 0,
    });
  const first = await poll("", 0, 0);
  t.equal(first.whole?.changes.length, 1);
  catalog.apply([
    upstream("u2", 7),
    { kind: "upstream_removed", revision: 8, id: "u1" },
    configuration(2, 9),
  ]);
  const next = await poll("run-1", first.position, 1);
  t.equal(next.whole, undefined);
  t.same(next.changes.map(({ kind }) => kind), [
    "upstream",
    "upstream_removed",
  ]);
  t.equal(next.version, 2);
  const other = await poll("run-0", first.position, 2);
  t.equal(
    other.whole?.changes.length,
    1,
    "a position from another run of the daemon is invalid",
  );
});

t.test("should answer a waiting follower at the next change", async (t) => {
  const catalog = new Catalog();
  catalog.apply([upstream("u1", 5)]);
  const response = answerFeedRequest({
    catalog,
    feedId: "f",
    request: {
      version: 0,
      feedId: "f",
      position: catalog.position,
      waitMs: 60_000,
    },
    isInContact: () => true,
    readers: () => [],
    confirmedAgeMs: () => Infinity,
    confirmation: () => 0,
  });
  catalog.apply([upstream("u2", 6)]);
  t.equal((await response).changes.length, 1);
});

// Guards against a followed daemon that uses up its CPU share on responses while many upstreams change in quick
// succession.
t.test("should batch successive changes into one response", async (t) => {
  const catalog = new Catalog();
  const response = answerFeedRequest({
    catalog,
    feedId: "f",
    request: { version: 0, feedId: "f", position: 0, waitMs: 60_000 },
    isInContact: () => true,
    readers: () => [],
    confirmedAgeMs: () => Infinity,
    confirmation: () => 0,
  });
  for (const revision of [1, 2, 3]) {
    catalog.apply([upstream(`u${revision}`, revision)]);
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
  t.equal((await response).changes.length, 3);
});

// Guards against followers that keep waiting for a daemon that has lost contact to the platform, past the time within
// which a version must be in force.
t.test("should notify a waiting follower at once that contact to the platform is lost", async (t) => {
  const catalog = new Catalog();
  let isInContact = true;
  const response = answerFeedRequest({
    catalog,
    feedId: "f",
    request: { version: 0, feedId: "f", position: 0, waitMs: 60_000 },
    isInContact: () => isInContact,
    readers: () => [],
    confirmedAgeMs: () => Infinity,
    confirmation: () => 0,
  });
  isInContact = false;
  catalog.wakeFollowers();
  t.equal((await response).isInContact, false);
});

// Guards against daemons of earlier versions, which refuse a response with a change of an unknown kind, and against
// longer responses where no zone is evacuated.
t.test("should tell a follower of evacuations apart from the changes, and only if they have changed", async (t) => {
  const catalog = new Catalog();
  const evacuations = { revision: 1, changeRevision: 0, zones: [] };
  catalog.replace({ revision: 1, changes: [upstream("u1", 1)], evacuations });
  const ask = (position: number) =>
    answerFeedRequest({
      catalog,
      feedId: "f",
      request: { version: 0, feedId: "f", position, waitMs: 0 },
      isInContact: () => true,
      readers: () => [],
      confirmedAgeMs: () => Infinity,
      confirmation: () => 0,
    });
  const { position } = catalog;
  catalog.apply([upstream("u1", 2)]);
  t.notOk("evacuations" in await ask(position));
  const zone = { zone: "b", revision: 3, isEvacuated: true };
  catalog.apply([{ kind: "evacuation", ...zone }]);
  const response = await ask(position);
  t.same(response.changes.map(({ kind }) => kind), ["upstream"]);
  t.same(response.evacuations?.zones, [zone]);
  t.notOk("evacuations" in await ask(response.position));
  t.end();
});

// Load: versions of thousands of routes in quick succession; each that is kept would take as much as the first.
t.test("should hold a route once that several versions have in common", (t) => {
  const catalog = new Catalog();
  const put = (number: number, routes: readonly Route[]) =>
    catalog.apply([{
      kind: "configuration",
      revision: number,
      configuration: { ...version(number), routes },
    }]);
  put(1, [route("a"), route("b")]);
  put(2, [route("b", "stock"), route("a")]);
  const [first] = catalog.keptVersion(1)!.routes;
  t.equal(catalog.index!.configuration.routes[1], first, "the same object");
  t.same(
    catalog.index!.routesByHost.get("shop.example")!.get("/b/")!.targets,
    [{ service: "stock", weight: 1 }],
  );
  t.end();
});

t.test("should keep no version whose routes the next one has replaced, if they are many", (t) => {
  const catalog = new Catalog();
  for (const number of [1, 2, 3]) {
    const routes = Array.from(
      { length: 6_000 },
      (_, i) => route(`r${i}`, number === 2 ? "stock" : "shop"),
    );
    catalog.apply([{
      kind: "configuration",
      revision: number,
      configuration: { ...version(number), routes },
    }]);
  }
  t.equal(catalog.version, 3);
  t.equal(catalog.keptVersion(1), undefined);
  t.equal(catalog.keptVersion(2), undefined);
  t.equal(catalog.keptVersion(3)?.version, 3);
  t.end();
});
