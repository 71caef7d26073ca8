import { setTimeout as sleep } from "node:timers/promises";
import t from "tap";
import { Result } from "true-myth";
import type { PlatformError } from "@tanagercove/errors";
import type { RouteConfiguration } from "@tanagercove/types";
import { waitFor } from "@tanagercove/test_helpers";
import {
  Catalog,
  type CatalogSource,
  CatalogSync,
  type CatalogSyncEvent,
  type CatalogUpdate,
  type ConfigurationUpdate,
  type FeedResponse,
  type ReadCatalogOptions,
  revisionInEra,
  type TransferOptions,
  type UpstreamsSnapshot,
  type WatchCatalogOptions,
} from "./index.ts";

type Answer = Result<CatalogUpdate, PlatformError>;

const UNAVAILABLE: Answer = Result.err({ kind: "unavailable", status: 503 });

/** A fake platform whose answers the test sets; a watch waits for `publish` or its abort signal. */
class FakeSource implements CatalogSource {
  readAnswer: Answer = Result.ok({ revision: 1, changes: [] });
  watchAnswer: Answer | undefined;
  /** While true, every watch gets the answer last passed to `publish`; otherwise only one watch does. */
  isDown = false;
  /** Time that each answer reports for its transfer. */
  transferMs = 0;
  readonly knownRevisions: (number | undefined)[] = [];
  watches = 0;
  readonly watchedAfter: number[] = [];
  #wake: (() => void) | undefined;

  get reads(): number {
    return this.knownRevisions.length;
  }

  readAll(options: ReadCatalogOptions = {}): Promise<Answer> {
    this.knownRevisions.push(options.knownConfigurationRevision);
    this.#reportTransfer(options);
    return Promise.resolve(this.readAnswer);
  }

  #reportTransfer({ onTransfer }: TransferOptions): void {
    onTransfer?.({
      source: "platform",
      content: "changes",
      outcome: "complete",
      sizeBytes: 1,
      headMs: 0,
      durationMs: this.transferMs,
    });
  }

  async watch(options: WatchCatalogOptions): Promise<Answer> {
    const { afterRevision, signal } = options;
    this.watches += 1;
    this.watchedAfter.push(afterRevision);
    if (this.watchAnswer === undefined) {
      await new Promise<void>((resolve) => {
        this.#wake = resolve;
        signal?.addEventListener("abort", () => resolve());
      });
    }
    const answer = this.watchAnswer ??
      Result.ok({ revision: afterRevision, changes: [] });
    if (!this.isDown) this.watchAnswer = undefined;
    this.#reportTransfer(options);
    return answer;
  }

  publish(answer: Answer): void {
    this.watchAnswer = answer;
    this.#wake?.();
  }

  close(): Promise<void> {
    this.#wake?.();
    return Promise.resolve();
  }
}

const upstreamAt = (id: string, revision: number) => ({
  kind: "upstream" as const,
  revision,
  entry: {
    id,
    service: "shop",
    address: "10.0.0.1",
    port: 80,
    zone: "a",
    slots: 4,
    state: "ready" as const,
    coldMs: 0,
    bornMs: 1,
  },
});

const configurationAt = (version: number): RouteConfiguration => ({
  version,
  routes: [],
  services: [],
  limits: {
    maxHeaderBytes: 1,
    maxBodyBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
  },
});

const feedResponse = (options: Partial<FeedResponse>): FeedResponse => ({
  feedId: "reader",
  position: 0,
  isInContact: true,
  whole: undefined,
  changes: [],
  revision: 1,
  version: 0,
  ...options,
});

const configurationChange = (version: number, revision: number) => ({
  kind: "configuration" as const,
  revision,
  configuration: configurationAt(version),
});

function setUp(options: {
  readonly higherRankedReaders?: () => readonly string[];
  readonly followPeer?: () => Promise<FeedResponse | undefined>;
  readonly fetchUpstreams?: () => Promise<UpstreamsSnapshot | undefined>;
  readonly fetchConfiguration?: () => Promise<ConfigurationUpdate | undefined>;
  readonly needsEvacuations?: boolean;
} = {}) {
  const source = new FakeSource();
  const catalog = new Catalog();
  const events: CatalogSyncEvent[] = [];
  const unexpectedErrors: unknown[] = [];
  const sync = new CatalogSync({
    catalog,
    source,
    ownPeer: "own:1",
    needsEvacuations: options.needsEvacuations,
    fetchUpstreams: options.fetchUpstreams ??
      (() => Promise.resolve(undefined)),
    fetchConfiguration: options.fetchConfiguration ??
      (() => Promise.resolve(undefined)),
    followPeer: options.followPeer ?? (() => Promise.resolve(undefined)),
    peers: () => ["peer:1"],
    higherRankedReaders: options.higherRankedReaders ?? (() => []),
    onEvent: (event) => events.push(event),
    onUnexpectedError: (error) => unexpectedErrors.push(error),
  });
  t.teardown(() => sync.close());
  return { source, catalog, events, unexpectedErrors, sync };
}

// Guards against the end of all processes at once, and again after each start, by one value that all of them read.
t.test("should read everything again after an error that it does not expect", async (t) => {
  const { source, catalog, events, unexpectedErrors, sync } = setUp();
  sync.start();
  await waitFor(() => source.watches === 1);
  const { version: _version, ...malformed } = configurationAt(2);
  Object.defineProperty(malformed, "version", {
    get: () => {
      throw new RangeError("Maximum call stack size exceeded");
    },
  });
  const change = { ...configurationChange(2, 8), configuration: malformed };
  source.readAnswer = Result.ok({
    revision: 9,
    changes: [upstreamAt("u1", 8)],
  });
  source.publish(Result.ok({ revision: 8, changes: [change as never] }));
  await waitFor(() => catalog.upstreams.has("u1"));
  t.match(unexpectedErrors, [{ name: "RangeError" }]);
  t.equal(unexpectedErrors.length, 1);
  t.match(events[0], { kind: "platform_lost" }, "it holds what it had");
  t.equal(sync.platformLostAtMs, undefined, "until the read");
});

// Guards against the same by an answer of another daemon, and against a loop that asks it again and again.
t.test("should read the platform after an error that an answer of its reader causes", async (t) => {
  let isMalformed = true;
  const { source, catalog, unexpectedErrors, sync } = setUp({
    higherRankedReaders: () => ["reader:1"],
    followPeer() {
      const entry = isMalformed ? undefined : upstreamAt("u1", 8).entry;
      isMalformed = false;
      const change = { ...upstreamAt("u1", 8), entry };
      return Promise.resolve(
        feedResponse({ position: 1, revision: 8, changes: [change as never] }),
      );
    },
  });
  source.readAnswer = Result.ok({
    revision: 9,
    changes: [upstreamAt("u2", 9)],
  });
  sync.start();
  await waitFor(() => catalog.upstreams.has("u2"));
  t.equal(unexpectedErrors.length, 1);
});

t.test("should read everything again when the platform has dropped its history", async (t) => {
  const { source, catalog, events, sync } = setUp();
  sync.start();
  await waitFor(() => source.watches === 1);
  source.readAnswer = Result.ok({
    revision: 9,
    changes: [upstreamAt("u1", 8)],
  });
  source.publish(Result.err({ kind: "history_dropped" }));
  await waitFor(() => source.reads === 2);
  source.watchAnswer = undefined;
  await waitFor(() => catalog.upstreams.has("u1"));
  t.same(events.map(({ kind }) => kind), ["history_dropped"]);
});

// Load: versions in quick succession while the platform turns this daemon away; one watch would hold them all.
t.test("should read everything again when the changes would take too much memory", async (t) => {
  const { source, catalog, events, sync } = setUp();
  sync.start();
  await waitFor(() => source.watches === 1);
  source.readAnswer = Result.ok({
    revision: 9,
    changes: [upstreamAt("u1", 8)],
  });
  source.publish(Result.err({ kind: "too_large", maxBytes: 1_000 }));
  await waitFor(() => source.reads === 2);
  source.watchAnswer = undefined;
  await waitFor(() => catalog.upstreams.has("u1"));
  t.same(events.map(({ kind }) => kind), ["changes_too_large"]);
});

t.test("should fetch the catalog of another daemon while the platform is down", async (t) => {
  const { source, catalog, events, sync } = setUp({
    fetchUpstreams: () =>
      Promise.resolve({
        revision: 5,
        version: 2,
        changes: [upstreamAt("u1", 5)],
      }),
    fetchConfiguration: () =>
      Promise.resolve({
        kind: "whole",
        revision: 4,
        configuration: configurationAt(2),
      }),
  });
  source.readAnswer = UNAVAILABLE;
  sync.start();
  await waitFor(() => catalog.upstreams.has("u1"));
  await waitFor(() => catalog.version === 2);
  t.equal(events[0]?.kind, "platform_lost");
});

t.test("should defer removals that are read right after an outage by two seconds", async (t) => {
  const { source, catalog, sync } = setUp();
  source.readAnswer = Result.ok({
    revision: 2,
    changes: [upstreamAt("u1", 2)],
  });
  sync.start();
  await waitFor(() => catalog.upstreams.has("u1"));
  await waitFor(() => source.watches === 1);
  source.isDown = true;
  source.publish(UNAVAILABLE);
  await waitFor(() => sync.platformLostAtMs !== undefined);
  source.isDown = false;
  source.publish(Result.ok({
    revision: 7,
    changes: [{ kind: "upstream_removed", revision: 6, id: "u1" }],
  }));
  await waitFor(() => sync.platformLostAtMs === undefined);
  t.ok(
    catalog.upstreams.has("u1"),
    "the entry may have expired during the outage",
  );
  await waitFor(() => !catalog.upstreams.has("u1"), { timeoutMs: 4_000 });
});

t.test("should follow the reader of the zone, and read the platform itself while that reader does not answer", async (t) => {
  let isReaderUp = true;
  let polls = 0;
  const { source, sync, events } = setUp({
    higherRankedReaders: () => ["reader:1"],
    followPeer: async () => {
      polls += 1;
      await sleep(20);
      return isReaderUp ? feedResponse({}) : undefined;
    },
  });
  sync.start();
  await waitFor(() => polls > 3);
  t.equal(source.watches, 0, "a follower does not watch the platform");
  isReaderUp = false;
  await waitFor(() => source.watches > 0);
  t.same(
    events.filter(({ kind }) => kind === "guide_changed").map((event) =>
      (event as { reader?: string }).reader
    ),
    ["reader:1", undefined],
  );
  t.ok(
    source.reads >= 2,
    "a full read covers changes that the reader had not delivered",
  );
});

// Guards against a fleet that reads each large version from the platform once per daemon, over narrow links.
t.test("should take a new version from the followed reader, and from the platform only if that fails", async (t) => {
  let version = 1;
  let isFetchUp = true;
  const heldVersions: number[] = [];
  const { source, catalog, sync } = setUp({
    higherRankedReaders: () => ["reader:1"],
    followPeer: async () => {
      await sleep(20);
      return feedResponse({ version, revision: version });
    },
    fetchConfiguration: () => {
      heldVersions.push(catalog.version);
      return Promise.resolve(
        isFetchUp
          ? {
            kind: "whole",
            revision: version,
            configuration: configurationAt(version),
          }
          : undefined,
      );
    },
  });
  sync.start();
  await waitFor(() => catalog.version === 1);
  const readsBefore = source.reads;
  version = 2;
  await waitFor(() => catalog.version === 2);
  t.equal(source.reads, readsBefore, "the platform is not read again");
  t.same(heldVersions, [0, 1]);
  isFetchUp = false;
  version = 3;
  await waitFor(() => source.reads > readsBefore);
});

// Guards against a version that is lost for good: a watch continues after the catalog's revision.
t.test("should not count a revision as known before it holds the version of that revision", async (t) => {
  let isFetchUp = false;
  const { source, catalog, sync } = setUp({
    fetchUpstreams: () =>
      Promise.resolve({
        revision: 9,
        version: 4,
        changes: [upstreamAt("u1", 8)],
        evacuations: { revision: 9, changeRevision: 0, zones: [] },
      }),
    fetchConfiguration: () =>
      Promise.resolve(
        isFetchUp
          ? {
            kind: "whole",
            revision: 7,
            configuration: configurationAt(4),
          }
          : undefined,
      ),
  });
  source.readAnswer = Result.ok({ revision: 2, changes: [] });
  sync.start();
  await waitFor(() => source.watches === 1);
  source.isDown = true;
  source.publish(UNAVAILABLE);
  await waitFor(() => catalog.upstreams.has("u1"));
  await sleep(50);
  t.equal(catalog.revision, 2);
  isFetchUp = true;
  await waitFor(() => catalog.version === 4);
  await waitFor(() => catalog.revision === 9);
});

/** Transfer of a version in which the operator may write the next one. */
const SLOW_TRANSFER_MS = 500;

// Guards against a reader that downloads each version that was written while it was behind.
t.test("should read the newest version after a slow watch, until there is no newer one", async (t) => {
  const { source, catalog, sync } = setUp();
  sync.start();
  await waitFor(() => source.watches === 1);
  source.transferMs = SLOW_TRANSFER_MS;
  source.readAnswer = Result.ok({
    revision: 8,
    changes: [configurationChange(5, 9)],
    evacuations: { revision: 9, changeRevision: 0, zones: [] },
  });
  const change = configurationChange(2, 4);
  source.publish(Result.ok({ revision: 4, changes: [change] }));
  await waitFor(() => source.watches === 2);
  t.equal(catalog.version, 5);
  t.equal(catalog.revision, 8, "the next watch continues from the read");
  t.same(source.knownRevisions, [undefined, 4, 9]);
});

// Guards against the loss of upstreams that come back after an outage: a read right after it does not list them yet.
t.test("should defer removals that a read after a slow watch finds right after an outage", async (t) => {
  const { source, catalog, sync } = setUp();
  source.readAnswer = Result.ok({
    revision: 2,
    changes: [upstreamAt("u1", 2), upstreamAt("u2", 2)],
  });
  sync.start();
  await waitFor(() => source.watches === 1);
  source.isDown = true;
  source.publish(UNAVAILABLE);
  await waitFor(() => sync.platformLostAtMs !== undefined);
  source.isDown = false;
  source.transferMs = SLOW_TRANSFER_MS;
  source.readAnswer = Result.ok({ revision: 7, changes: [] });
  const { reads, watches } = source;
  const removal = { kind: "upstream_removed" as const, revision: 6, id: "u1" };
  source.publish(
    Result.ok({ revision: 7, changes: [removal, configurationChange(2, 7)] }),
  );
  await waitFor(() => source.reads > reads && source.watches > watches);
  await waitFor(() => catalog.version === 2);
  t.same([...catalog.upstreams.keys()], ["u1", "u2"]);
  t.equal(catalog.deferredRemovals, 2);
  await waitFor(() => catalog.upstreams.size === 0, { timeoutMs: 4_000 });
});

// Guards against a version that is never read: the read that follows a slow watch may leave the configuration out.
t.test("should watch from before a missed version that becomes known during a read after a slow watch", async (t) => {
  const { source, catalog, sync } = setUp({
    fetchUpstreams: () =>
      Promise.resolve({ revision: 9, version: 4, changes: [] }),
  });
  sync.start();
  await waitFor(() => source.watches === 1);
  source.transferMs = SLOW_TRANSFER_MS;
  let endRead = () => {};
  const readEnd = new Promise<void>((resolve) => endRead = resolve);
  const readAll = source.readAll.bind(source);
  source.readAll = async (options) => {
    const answer = await readAll(options);
    if (options?.knownConfigurationRevision !== undefined) await readEnd;
    return answer;
  };
  const change = configurationChange(2, 4);
  source.publish(Result.ok({ revision: 4, changes: [change] }));
  await waitFor(() => source.reads === 2);
  await sync.catchUpIfBehind("peer:1", { version: 4, revision: 9 });
  t.equal(catalog.revision, 4);
  endRead();
  await waitFor(() => source.watches === 2);
  t.equal(source.watchedAfter.at(-1), 4);
  t.same(source.knownRevisions, [undefined, 4]);
});

// Guards against requests that are repeated by a route that another daemon already knows to be outdated.
t.test("should count as current only while in contact, and while no other daemon holds a newer version", async (t) => {
  const { source, catalog, sync } = setUp({
    fetchConfiguration: () =>
      Promise.resolve({
        kind: "whole",
        revision: 7,
        configuration: configurationAt(4),
      }),
  });
  sync.start();
  await waitFor(() => source.watches === 1);
  t.equal(sync.isCurrent, true);
  const caughtUp = sync.catchUpIfBehind("peer:1", { version: 4, revision: 7 });
  t.equal(sync.isCurrent, false, "the newer version is not here yet");
  await caughtUp;
  t.equal(catalog.version, 4);
  t.equal(sync.isCurrent, true);
  source.isDown = true;
  source.publish(UNAVAILABLE);
  await waitFor(() => sync.platformLostAtMs !== undefined);
  t.equal(sync.isCurrent, false);
});

// Guards against requests that are repeated by a route that a newer version, which cannot be read, may have replaced.
t.test("should not count as current while the platform's configuration cannot be read", async (t) => {
  const { source, catalog, sync } = setUp();
  const unreadable = {
    kind: "unreadable" as const,
    key: "configuration",
    upstreamId: undefined,
    problem: "not JSON",
  };
  source.readAnswer = Result.ok({
    revision: 2,
    changes: [{ ...unreadable, revision: 2 }],
  });
  sync.start();
  await waitFor(() => source.watches === 1);
  t.equal(sync.isCurrent, false);
  source.publish(Result.ok({ revision: 2, changes: [] }));
  await waitFor(() => source.watches === 2);
  t.equal(sync.isCurrent, false, "nor after an answer without a change");
  source.publish(
    Result.ok({ revision: 3, changes: [configurationChange(3, 3)] }),
  );
  await waitFor(() => catalog.version === 3);
  t.equal(sync.isCurrent, true);
});

// Guards against a daemon that never hears of an evacuation, as its reader is of an earlier version.
t.test("should not follow a reader that does not tell evacuations, if they are needed", async (t) => {
  const whole = { revision: 1, changes: [] };
  for (const needsEvacuations of [true, false]) {
    const { source, sync } = setUp({
      needsEvacuations,
      higherRankedReaders: () => ["reader:1"],
      followPeer: async () => {
        await sleep(20);
        return feedResponse({ whole });
      },
    });
    sync.start();
    if (needsEvacuations) await waitFor(() => source.watches > 0);
    else await waitFor(() => sync.readers.length > 0);
    t.equal(sync.reader, needsEvacuations ? undefined : "reader:1");
  }
});

// Guards against live upstreams that are dropped at once because the store, which came back without an outage that this
// daemon noticed, has lost their entries.
t.test("should keep for two seconds what a new era of the store lacks", async (t) => {
  const { source, catalog, events, sync } = setUp();
  source.readAnswer = Result.ok({
    revision: 9,
    changes: [upstreamAt("u1", 2), upstreamAt("u2", 8)],
  });
  sync.start();
  await waitFor(() => source.watches === 1);
  source.readAnswer = Result.ok({
    revision: revisionInEra(1, 5),
    changes: [upstreamAt("u1", revisionInEra(1, 2))],
  });
  source.publish(Result.err({ kind: "history_dropped" }));
  await waitFor(() => events.some(({ kind }) => kind === "era_began"));
  t.same([...catalog.upstreams.keys()], ["u1", "u2"]);
  await waitFor(() => catalog.upstreams.size === 1, { timeoutMs: 4_000 });
});

// Guards against upstreams that a follower drops because its reader started after the store had lost their entries.
t.test("should keep for two seconds what a reader lacks that knows a new era of the store", async (t) => {
  let response = feedResponse({});
  const { source, catalog, sync } = setUp({
    higherRankedReaders: () => ["reader:1"],
    followPeer: async () => {
      await sleep(20);
      return response;
    },
  });
  source.readAnswer = Result.ok({
    revision: 9,
    changes: [upstreamAt("u2", 8)],
  });
  sync.start();
  await waitFor(() => sync.reader !== undefined && sync.readers.length > 0);
  const revision = revisionInEra(1, 5);
  const evacuations = { revision, changeRevision: 0, zones: [] };
  response = feedResponse({
    revision,
    whole: { revision, changes: [upstreamAt("u1", revision)], evacuations },
  });
  await waitFor(() => catalog.upstreams.has("u1"));
  t.ok(catalog.upstreams.has("u2"));
  response = feedResponse({ revision });
  await waitFor(() => !catalog.upstreams.has("u2"), { timeoutMs: 4_000 });
});

// Guards against a daemon without a disk that serves by an older version or sends to an evacuated zone: the store has
// lost the newer version and the evacuation.
t.test("should learn what other daemons know before it counts as started, if the store has eras", async (t) => {
  let isPeerAsked = false;
  let answerPeer = () => {};
  const peerAnswers = new Promise<void>((resolve) => answerPeer = resolve);
  const zone = { zone: "b", revision: 8, isEvacuated: true };
  const { source, catalog, sync } = setUp({
    fetchUpstreams: async () => {
      isPeerAsked = true;
      await peerAnswers;
      return {
        revision: 9,
        version: 11,
        changes: [],
        evacuations: { revision: 7, changeRevision: 8, zones: [zone] },
      };
    },
    fetchConfiguration: async () => {
      await peerAnswers;
      return {
        kind: "whole",
        revision: 8,
        configuration: configurationAt(11),
      };
    },
  });
  const revision = revisionInEra(1, 5);
  source.readAnswer = Result.ok({
    revision,
    changes: [configurationChange(9, revisionInEra(1, 4))],
    evacuations: { revision, changeRevision: 0, zones: [] },
  });
  sync.start();
  await waitFor(() => isPeerAsked);
  t.notOk(sync.isFloorKnown);
  answerPeer();
  await waitFor(() => sync.isFloorKnown);
  t.equal(catalog.version, 11);
  t.ok(catalog.isEvacuated("b"));
  await waitFor(() => !catalog.isEvacuated("b"), { timeoutMs: 4_000 });
});

t.test("should ask no other daemon at its start if the store has lost nothing", async (t) => {
  let asked = 0;
  const { source, sync } = setUp({
    fetchUpstreams: () => {
      asked += 1;
      return Promise.resolve(undefined);
    },
  });
  sync.start();
  await waitFor(() => source.watches === 1);
  t.ok(sync.isFloorKnown);
  t.equal(asked, 0);
});

// Guards against an evacuation that no read delivers: it was written before a version that another daemon told first.
t.test("should not take evacuations for known up to the revision of a configuration from another daemon", async (t) => {
  const { source, sync } = setUp({
    fetchUpstreams: () =>
      Promise.resolve({ revision: 9, version: 5, changes: [] }),
    fetchConfiguration: () =>
      Promise.resolve({
        kind: "whole",
        revision: 9,
        configuration: configurationAt(4),
      }),
  });
  sync.start();
  await waitFor(() => source.watches === 1);
  await sync.catchUpIfBehind("peer:1", { version: 4, revision: 9 });
  source.transferMs = SLOW_TRANSFER_MS;
  source.readAnswer = Result.ok({ revision: 7, changes: [] });
  source.publish(
    Result.ok({ revision: 4, changes: [configurationChange(3, 4)] }),
  );
  await waitFor(() => source.reads === 2);
  t.ok(source.knownRevisions[1]! <= 4, `${source.knownRevisions[1]}`);
});

// Guards against a watch that continues after an evacuation that a daemon of an earlier version has not told.
t.test("should not count a revision as known by a daemon that tells no evacuations", async (t) => {
  for (const isTold of [true, false]) {
    const evacuations = { revision: 9, changeRevision: 0, zones: [] };
    const { source, catalog, sync } = setUp({
      fetchUpstreams: () =>
        Promise.resolve({
          revision: 9,
          version: 0,
          changes: [upstreamAt("u1", 9)],
          ...(isTold && { evacuations }),
        }),
    });
    sync.start();
    await waitFor(() => source.watches === 1);
    await sync.catchUpIfBehind("peer:1", { version: 0, revision: 9 });
    t.ok(catalog.upstreams.has("u1"));
    t.equal(catalog.revision, isTold ? 9 : 1);
  }
});
