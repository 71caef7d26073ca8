import { setTimeout as sleep } from "node:timers/promises";
import type { Result } from "true-myth";
import type { PlatformError } from "@tanagercove/errors";
import type { Catalog, HeldRevisions, UpstreamsSnapshot } from "./catalog.ts";
import type { FeedRequest, FeedResponse } from "./catalog_feed.ts";
import type { CatalogTransfer } from "./catalog_transfer.ts";
import { chooseReader } from "./choose_reader.ts";
import {
  ConfigurationLease,
  decideWatchConfirmation,
  type Instant,
  type ReadClocks,
  shiftInstant,
} from "./configuration_lease.ts";
import {
  chooseNextRead,
  type FinishedRead,
  type PlatformRead,
} from "./choose_next_read.ts";
import {
  applyConfigurationUpdate,
  type ConfigurationUpdate,
} from "./configuration_update.ts";
import { isSameChain, type ReaderChain } from "./reader_chain.ts";
import { eraOf } from "./revisions.ts";
import type { CatalogSource, CatalogUpdate } from "./source_port.ts";

/** Fetches the upstreams and evacuations of another daemon; undefined if that daemon does not answer or holds nothing newer. */
export type FetchUpstreams = (
  peer: string,
  held: HeldRevisions,
) => Promise<UpstreamsSnapshot | undefined>;

/** Fetches the configuration of another daemon; undefined if that daemon does not answer or holds nothing newer. */
export type FetchConfiguration = (
  peer: string,
  heldVersion: number,
) => Promise<ConfigurationUpdate | undefined>;

/** Sends one long poll to the daemon that this one follows; undefined if it does not answer. */
export type FollowPeer = (
  peer: string,
  request: FeedRequest,
) => Promise<FeedResponse | undefined>;

/** Events of the synchronization with the platform and other daemons. */
export type CatalogSyncEvent =
  | { readonly kind: "platform_lost"; readonly error: PlatformError }
  | { readonly kind: "platform_regained"; readonly outageMs: number }
  | { readonly kind: "history_dropped" }
  /** The changes since the last read would take more memory than they may. */
  | { readonly kind: "changes_too_large"; readonly maxBytes: number }
  | {
    /** The platform's store has come back from an older copy of itself. */
    readonly kind: "era_began";
    readonly era: number;
  }
  | {
    readonly kind: "guide_changed";
    /** Daemon that this one follows from now on; undefined if this daemon reads the platform itself. */
    readonly reader: string | undefined;
  }
  | {
    readonly kind: "circle_avoided";
    /** Daemon that this one does not follow, since it gets its changes from this one. */
    readonly reader: string;
    /** Readers of that daemon. */
    readonly readers: ReaderChain;
  }
  | {
    readonly kind: "caught_up_from_peer";
    readonly peer: string;
    readonly version: number;
    readonly changeRevision: number;
  };

/** Options of `CatalogSync`. */
export interface CatalogSyncOptions {
  readonly catalog: Catalog;
  readonly source: CatalogSource;
  /** This daemon, as `peers` and `higherRankedReaders` of other daemons name it. */
  readonly ownPeer: string;
  readonly fetchUpstreams: FetchUpstreams;
  readonly fetchConfiguration: FetchConfiguration;
  readonly followPeer: FollowPeer;
  /** Other daemons, those of the same zone first. */
  readonly peers: () => readonly string[];
  /** Daemons of the same zone that precede this one in the ranking of readers of the platform, in that order. */
  readonly higherRankedReaders: () => readonly string[];
  readonly onEvent: (event: CatalogSyncEvent) => void;
  /** Called with an error that a fault in this program allows; the synchronization goes on with a full read. */
  readonly onUnexpectedError: (error: unknown) => void;
  /** Called at the end of each response of the platform. */
  readonly onTransfer?: (transfer: CatalogTransfer) => void;
  /** Whether readers that do not tell which zones are evacuated are passed over; false by default. */
  readonly needsEvacuations?: boolean | undefined;
  /** Timeout of a watch without changes, after which it is renewed. */
  readonly watchWaitMs?: number;
  /** Time after its acknowledgement within which a version must be in force; 2 s by default. */
  readonly configurationApplyMs?: number | undefined;
  readonly readClocks?: ReadClocks;
}

/**
 * Default for `watchWaitMs`. The version in force is confirmed at the end of each watch, or for its begin if a change
 * ended it. So the age of a confirmation reaches twice this time and the delays of two calls, which is to be less than
 * the time within which a version must be in force. It also bounds the time until a daemon that reads the platform
 * notices that its connection to the platform has stopped responding.
 */
const WATCH_WAIT_MS = 750;

/** Default for `configurationApplyMs`. */
const CONFIGURATION_APPLY_MS = 2_000;

/** A confirmation that is later than the last one by less than this is not told to followers by itself. */
const MIN_TOLD_CONFIRMATION_MS = 50;

/**
 * Timeout of a follower's long poll; bounds the time until a reader that has stopped responding is detected. Above
 * `WATCH_WAIT_MS`, so that mostly the next confirmation ends the poll.
 */
const FOLLOW_POLL_MS = 800;

/** Time during which a reader that did not answer or lost contact to the platform is not followed. */
const READER_AVOIDED_MS = 4_000;

/**
 * Time for which a daemon looks for a reader, from the first one that fails, before it reads the platform itself. Readers
 * that lose power together each cost a timeout, and avoiding the first one ends before the last one has been tried.
 */
const READER_SEARCH_MS = 250;

/** First backoff after a failed call; doubles up to `RETRY_MAX_MS`, with jitter. */
const RETRY_MS = 100;
const RETRY_MAX_MS = 800;

/**
 * Time after an outage of the platform during which removals read from it are
 * deferred. Entries that expired during the outage come back within about two
 * seconds, so a missing entry does not yet mean that the upstream was removed.
 */
const RETURN_SETTLE_MS = 2_200;

/**
 * Number of daemons that are asked for a newer version and for evacuations after the first read of a store that has
 * eras: it may have come back from an older copy a moment ago. Three of different places are hardly all cut off.
 */
const FLOOR_PEERS = 3;

/** Interval between fetches from other daemons while the platform is unreachable. */
const PEER_FETCH_INTERVAL_MS = 400;

/**
 * Minimum time from the begin of a watch to the begin of the next one. A watch is answered at the first change, and each
 * answer is a call that the platform charges for; the changes of a release, several in each second, arrive together then.
 */
const WATCH_INTERVAL_MS = 250;

/**
 * Time for this daemon's own watch, or its reader, to deliver a change that another daemon already holds: the interval
 * between watches and the way down the tree of followers.
 */
const BEHIND_GRACE_MS = 400;

const FIRST_ERA = 0;

/** Lets another daemon answer only if it knows of an evacuation. */
const NO_EVACUATION_HELD: HeldRevisions = {
  upstreamRevision: Infinity,
  evacuationRevision: 0,
};

/**
 * Keeps the catalog up to date from the platform or from a reader. A reader is a higher-ranked daemon of the same zone,
 * which reads the platform or follows another reader itself. While the platform is unreachable, the catalog is fetched
 * from other daemons in turn.
 */
export class CatalogSync {
  readonly #options: CatalogSyncOptions;
  readonly #closing = new AbortController();
  #watchAbort = new AbortController();
  #needsFullRead = true;
  /** The last read of the platform; undefined if it failed, or if another daemon was followed since. */
  #lastRead: FinishedRead | undefined;
  /** Newest version that a read of the platform delivered; other daemons may have delivered a newer one. */
  #readVersion = 0;
  readonly #reads: Readonly<
    Record<PlatformRead, () => Promise<"ok" | "failed">>
  > = {
    watch: () => this.#watch(),
    full_read: () => this.#readAll(),
    catch_up_read: () => this.#catchUp(),
  };
  readonly #lease: ConfigurationLease;
  #confirmation = 0;
  /** Whether the platform holds a configuration that cannot be read, so that the version in force is not its newest one. */
  #isConfigurationUnreadable = false;
  #platformLostAtMs: number | undefined;
  #settleUntilMs = 0;
  /** End of the time in which an entry that a new era of the platform's store lacks may be written again. */
  #eraSettleUntilMs = 0;
  /** Newest era of the platform's store that is known; undefined before the first read. */
  #era: number | undefined;
  #isFloorKnown = false;
  #nextWatchAtMs = 0;
  #settleTimer: NodeJS.Timeout | undefined;
  #isCatchingUp = false;
  /** Newest version that another daemon is known to hold. */
  #newestKnownVersion = 0;
  #reader: string | undefined;
  #readers: ReaderChain = [];
  /** Whether a reader has delivered changes since the last full read of the platform. */
  #hasFollowed = false;
  /** Feed position at each reader, so that following a previous reader again needs no full snapshot. */
  readonly #feedPositions = new Map<
    string,
    { feedId: string; position: number; confirmation: number | undefined }
  >();
  readonly #avoidedUntilMs = new Map<string, number>();
  /** When a reader first failed since the last contact to the platform. */
  #searchStartedAtMs: number | undefined;
  /** End of the time in which this daemon reads the platform itself, since it found no reader soon enough. */
  #readsItselfUntilMs = 0;
  #loops: Promise<unknown> = Promise.resolve();

  constructor(options: CatalogSyncOptions) {
    this.#options = options;
    this.#lease = new ConfigurationLease(options);
  }

  /**
   * When a call to the platform first failed since the last success; undefined if none has failed since. A response of
   * a followed reader that is in contact with the platform counts as a success too.
   */
  get platformLostAtMs(): number | undefined {
    return this.#platformLostAtMs;
  }

  /**
   * Whether no newer version than the one in force needs to be in force yet, as far as this daemon can know: the platform
   * has confirmed it so lately that one acknowledged since then has time left, and no other daemon is known to hold one.
   */
  get isCurrent(): boolean {
    const { catalog, configurationApplyMs = CONFIGURATION_APPLY_MS } =
      this.#options;
    return this.#platformLostAtMs === undefined &&
      this.#lease.ageMs < configurationApplyMs &&
      this.#newestKnownVersion <= catalog.version;
  }

  /** Number of confirmations that followers were told of. */
  get confirmation(): number {
    return this.#confirmation;
  }

  /** Time since the platform last confirmed that the version in force is the newest one; infinite before the first time. */
  get confirmedAgeMs(): number {
    return this.#lease.ageMs;
  }

  /** Whether the version in force is at least the one that other daemons held when this one started. */
  get isFloorKnown(): boolean {
    return this.#isFloorKnown;
  }

  /** Daemon that this one follows; undefined if it reads the platform. */
  get reader(): string | undefined {
    return this.#reader;
  }

  /** Readers over which the last response or read reached this daemon. */
  get readers(): ReaderChain {
    return this.#readers;
  }

  start(): void {
    this.#loops = Promise.all([
      this.#followPlatform(),
      this.#pollPeersDuringOutage(),
    ]);
  }

  /** Fetches from another daemon if it holds a change that this daemon's own watch or reader is late to deliver. */
  async catchUpIfBehind(
    peer: string,
    state: { readonly version: number; readonly revision: number },
  ): Promise<void> {
    this.#recordKnownVersion(state.version);
    if (!this.#isBehind(state) || this.#isCatchingUp) return;
    this.#isCatchingUp = true;
    try {
      await this.#sleep(BEHIND_GRACE_MS);
      if (!this.#isBehind(state) || this.#closing.signal.aborted) return;
      await this.#fetchFromPeer(peer);
    } finally {
      this.#isCatchingUp = false;
    }
  }

  async close(): Promise<void> {
    this.#closing.abort();
    this.#watchAbort.abort();
    clearTimeout(this.#settleTimer);
    await this.#loops;
  }

  #recordKnownVersion(version: number): void {
    this.#newestKnownVersion = Math.max(this.#newestKnownVersion, version);
  }

  #isBehind(state: { version: number; revision: number }): boolean {
    const { catalog } = this.#options;
    return state.version > catalog.version ||
      state.revision > catalog.changeRevision;
  }

  async #followPlatform(): Promise<void> {
    let pauseMs = RETRY_MS;
    while (!this.#closing.signal.aborted) {
      const result = await this.#syncOnce()
        .catch((error) => this.#recordUnexpectedError(error));
      if (result === "ok") {
        pauseMs = RETRY_MS;
        continue;
      }
      await this.#sleep(pauseMs * (0.5 + Math.random()));
      pauseMs = Math.min(RETRY_MAX_MS, pauseMs * 2);
    }
  }

  /**
   * All daemons read the same values, so an error that one of them causes would end them all, and again after each
   * restart. An update may have been applied in part, so everything is read anew.
   */
  #recordUnexpectedError(error: unknown): "failed" {
    this.#options.onUnexpectedError(error);
    this.#needsFullRead = true;
    this.#recordFailure({ kind: "malformed", message: String(error) });
    if (this.#reader !== undefined) {
      this.#feedPositions.delete(this.#reader);
      this.#recordFailedReader(this.#reader);
    }
    return "failed";
  }

  /**
   * Performs one update. The first one comes from the platform. Later ones come from the reader that `chooseReader`
   * finds, or from the platform if there is none.
   */
  async #syncOnce(): Promise<"ok" | "failed"> {
    const isEmpty = this.#options.catalog.revision === 0;
    const reader = isEmpty ? undefined : this.#chooseReader();
    if (reader !== this.#reader) {
      this.#reader = reader;
      // Changes that the previous reader had not delivered yet are unknown here.
      this.#needsFullRead ||= reader === undefined && this.#hasFollowed;
      this.#options.onEvent({ kind: "guide_changed", reader });
    }
    const lastRead = this.#lastRead;
    this.#lastRead = undefined;
    if (reader !== undefined) return await this.#followReader(reader);
    const needsFullRead = this.#needsFullRead;
    return await this.#reads[chooseNextRead({ needsFullRead, lastRead })]();
  }

  #chooseReader(): string | undefined {
    const nowMs = performance.now();
    if (nowMs < this.#readsItselfUntilMs) return undefined;
    return chooseReader({
      higherRanked: this.#options.higherRankedReaders(),
      isAvoided: (reader) => (this.#avoidedUntilMs.get(reader) ?? 0) > nowMs,
    });
  }

  async #followReader(reader: string): Promise<"ok" | "failed"> {
    const { catalog, followPeer, ownPeer, onEvent } = this.#options;
    const feedPosition = this.#feedPositions.get(reader);
    const isNewReader = reader !== this.#readers[0];
    const knownReaders = isNewReader ? undefined : this.#readers.slice(1);
    const startedAt = this.#lease.now();
    const confirmation = feedPosition?.confirmation;
    const response = await followPeer(reader, {
      follower: ownPeer,
      ...(knownReaders && { readers: knownReaders }),
      ...(confirmation !== undefined && { confirmation }),
      version: catalog.version,
      feedId: feedPosition?.feedId ?? "",
      position: feedPosition?.position ?? 0,
      // A reader that cannot be followed is to be known before this daemon's own followers wait for it.
      waitMs: isNewReader ? 0 : FOLLOW_POLL_MS,
    });
    const readers = response?.readers ?? [];
    const isCircle = readers.includes(ownPeer);
    if (
      response === undefined || !response.isInContact || isCircle ||
      this.#isLackingEvacuations(response)
    ) {
      this.#recordFailedReader(reader);
      if (isCircle) onEvent({ kind: "circle_avoided", reader, readers });
      return "ok";
    }
    this.#feedPositions.set(reader, {
      feedId: response.feedId,
      position: response.position,
      confirmation: response.confirmation,
    });
    this.#recordContact([reader, ...readers]);
    this.#hasFollowed = true;
    // The reader confirms nothing while it cannot read the newest configuration.
    this.#isConfigurationUnreadable = false;
    this.#recordEra(response.revision);
    if (response.whole !== undefined) this.#replaceFromPeer(response.whole);
    catalog.apply(response.changes);
    catalog.mergeEvacuations(response.evacuations);
    this.#settleDeferred();
    this.#recordKnownVersion(response.version);
    await this.#fetchConfiguration(reader, response.version);
    if (catalog.version < response.version) return await this.#readAll();
    catalog.advance(response.revision);
    const { confirmedBeforeMs } = response;
    if (confirmedBeforeMs !== undefined) {
      this.#confirm(shiftInstant(startedAt, -confirmedBeforeMs));
    }
    return "ok";
  }

  /** Records that the version in force was the newest one at an instant, and lets followers know. */
  #confirm(at: Instant): void {
    if (this.#isConfigurationUnreadable) return;
    const gainMs = this.#lease.confirm(at);
    if (gainMs < MIN_TOLD_CONFIRMATION_MS) return;
    this.#confirmation += 1;
    this.#options.catalog.wakeFollowers();
  }

  /**
   * Whether a reader does not tell which zones are evacuated, as daemons of earlier versions don't. These don't know of
   * eras either, and their revisions would count as outdated in any but the first one.
   */
  #isLackingEvacuations({ whole }: FeedResponse): boolean {
    const { needsEvacuations = false, catalog } = this.#options;
    return whole !== undefined && whole.evacuations === undefined &&
      (needsEvacuations || eraOf(catalog.revision) > FIRST_ERA);
  }

  #recordFailedReader(reader: string): void {
    const nowMs = performance.now();
    this.#avoidedUntilMs.set(reader, nowMs + READER_AVOIDED_MS);
    this.#searchStartedAtMs ??= nowMs;
    if (nowMs - this.#searchStartedAtMs < READER_SEARCH_MS) return;
    this.#searchStartedAtMs = undefined;
    this.#readsItselfUntilMs = nowMs + READER_AVOIDED_MS;
  }

  /** Fetches the configuration of another daemon that holds a newer version than this one. */
  async #fetchConfiguration(peer: string, version: number): Promise<void> {
    const { catalog, fetchConfiguration } = this.#options;
    if (catalog.version >= version) return;
    const update = await fetchConfiguration(peer, catalog.version);
    if (update === undefined || this.#closing.signal.aborted) return;
    applyConfigurationUpdate(catalog, update);
  }

  async #readAll(): Promise<"ok" | "failed"> {
    const outcome = await this.#readUpdate();
    if (outcome === "ok") {
      this.#needsFullRead = false;
      this.#hasFollowed = false;
    }
    return outcome;
  }

  /** Reads all upstreams, and the newest version unless it is known. */
  async #catchUp(): Promise<"ok" | "failed"> {
    return await this.#readUpdate(this.#options.catalog.operatorRevision);
  }

  async #readUpdate(
    knownConfigurationRevision?: number,
  ): Promise<"ok" | "failed"> {
    const { source } = this.#options;
    const timer = this.#timeTransfers();
    const { onTransfer } = timer;
    const startedAt = this.#lease.now();
    const result = await source.readAll({
      onTransfer,
      knownConfigurationRevision,
    });
    if (result.isErr) return this.#recordFailure(result.error);
    this.#recordContact([]);
    this.#recordEra(result.value.revision);
    this.#options.catalog.replace(result.value, this.#removalOptions());
    this.#recordReadability(result.value);
    this.#confirm(startedAt);
    this.#settleDeferred();
    await this.#learnFloor();
    this.#recordRead(result.value, timer.transferMs());
    return "ok";
  }

  async #watch(): Promise<"ok" | "failed"> {
    const { catalog, source } = this.#options;
    const pauseMs = this.#nextWatchAtMs - performance.now();
    if (pauseMs > 0) await this.#sleep(pauseMs);
    if (this.#closing.signal.aborted) return "ok";
    this.#nextWatchAtMs = performance.now() + WATCH_INTERVAL_MS;
    this.#watchAbort = new AbortController();
    const { signal } = this.#watchAbort;
    const timer = this.#timeTransfers();
    const afterRevision = catalog.revision;
    const waitMs = this.#options.watchWaitMs ?? WATCH_WAIT_MS;
    const startedAt = this.#lease.now();
    const result: Result<CatalogUpdate, PlatformError> = await source.watch({
      afterRevision,
      waitMs,
      signal,
      onTransfer: timer.onTransfer,
    });
    if (signal.aborted) return "ok";
    if (result.isErr) {
      const { error } = result;
      if (error.kind === "history_dropped") {
        this.#options.onEvent({ kind: "history_dropped" });
      } else if (error.kind === "too_large") {
        const { maxBytes } = error;
        this.#options.onEvent({ kind: "changes_too_large", maxBytes });
      } else return this.#recordFailure(error);
      this.#needsFullRead = true;
      // The backoff prevents continuous full reads of a platform that keeps no history at all.
      return "failed";
    }
    const elapsedMs = this.#lease.now().steadyMs - startedAt.steadyMs;
    this.#recordContact([]);
    const { changes, revision } = result.value;
    catalog.apply(changes, this.#removalOptions());
    this.#recordReadability(result.value);
    this.#settleDeferred();
    catalog.advance(revision);
    const isUnchanged = changes.length === 0 && revision === afterRevision;
    this.#confirm(
      decideWatchConfirmation({ startedAt, elapsedMs, waitMs, isUnchanged }),
    );
    this.#recordRead(result.value, timer.transferMs());
    return "ok";
  }

  #recordReadability({ changes }: CatalogUpdate): void {
    for (const change of changes) {
      if (change.kind === "configuration") {
        this.#isConfigurationUnreadable = false;
      } else if (
        change.kind === "unreadable" && change.upstreamId === undefined
      ) this.#isConfigurationUnreadable = true;
    }
  }

  /** Adds up the times in which the bodies of a read's responses arrive. */
  #timeTransfers() {
    let transferMs = 0;
    const onTransfer = (transfer: CatalogTransfer) => {
      const { headMs, durationMs } = transfer;
      transferMs += durationMs - (headMs ?? durationMs);
      this.#options.onTransfer?.(transfer);
    };
    return { onTransfer, transferMs: () => transferMs };
  }

  #recordRead({ changes }: CatalogUpdate, transferMs: number): void {
    const versions = changes.flatMap((change) =>
      change.kind === "configuration" ? [change.configuration.version] : []
    );
    const newest = Math.max(0, ...versions);
    const hasNewerVersion = newest > this.#readVersion;
    this.#readVersion = Math.max(this.#readVersion, newest);
    this.#lastRead = { hasNewerVersion, transferMs };
  }

  #recordFailure(error: PlatformError): "failed" {
    this.#readsItselfUntilMs = 0;
    if (this.#platformLostAtMs === undefined) {
      this.#platformLostAtMs = performance.now();
      this.#options.catalog.wakeFollowers();
      this.#options.onEvent({ kind: "platform_lost", error });
    }
    return "failed";
  }

  #recordContact(readers: ReaderChain): void {
    const hasNewReaders = !isSameChain(readers, this.#readers);
    this.#readers = readers;
    this.#searchStartedAtMs = undefined;
    if (hasNewReaders) this.#options.catalog.wakeFollowers();
    if (this.#platformLostAtMs === undefined) return;
    const nowMs = performance.now();
    const outageMs = nowMs - this.#platformLostAtMs;
    this.#platformLostAtMs = undefined;
    this.#settle();
    this.#options.onEvent({ kind: "platform_regained", outageMs });
  }

  /** Defers removals for a time, and applies them at its end. */
  #settle(): void {
    this.#settleUntilMs = performance.now() + RETURN_SETTLE_MS;
    clearTimeout(this.#settleTimer);
    this.#settleTimer = setTimeout(() => {
      this.#settleTimer = undefined;
      this.#options.catalog.applyDeferredRemovals();
    }, RETURN_SETTLE_MS);
  }

  /** Lets deferred removals that another daemon has told, or an older copy of the platform, end after a time too. */
  #settleDeferred(): void {
    if (
      this.#settleTimer === undefined &&
      this.#options.catalog.deferredRemovals > 0
    ) {
      this.#settle();
    }
  }

  /** Notes the era of a revision. What a new one lacks may be written again, as after an outage. */
  #recordEra(revision: number): void {
    const era = eraOf(revision);
    const known = this.#era;
    if (era <= (known ?? -1)) return;
    this.#era = era;
    if (known === undefined) return;
    this.#settle();
    this.#eraSettleUntilMs = this.#settleUntilMs;
    this.#options.onEvent({ kind: "era_began", era });
  }

  #removalOptions(): { readonly deferRemovals: boolean } {
    return { deferRemovals: performance.now() < this.#settleUntilMs };
  }

  /** Takes all that another daemon holds; that daemon may have started after the platform's store lost entries. */
  #replaceFromPeer(update: CatalogUpdate | UpstreamsSnapshot): void {
    if ("hasEvacuationsOnly" in update && update.hasEvacuationsOnly) {
      this.#options.catalog.mergeEvacuations(update.evacuations);
      return;
    }
    const deferRemovals = performance.now() < this.#eraSettleUntilMs;
    this.#options.catalog.replace(update, { deferRemovals, advances: false });
  }

  /**
   * Asks other daemons, after the first read, for a newer version and for evacuations that the platform's store has lost
   * if it has come back from an older copy. A store in its first era, or without eras, has lost nothing.
   */
  async #learnFloor(): Promise<void> {
    if (this.#isFloorKnown) return;
    if (this.#era !== FIRST_ERA) {
      const peers = spreadOver(this.#options.peers(), FLOOR_PEERS);
      await Promise.all(peers.map((peer) => this.#fetchFloor(peer)));
    }
    this.#isFloorKnown = true;
  }

  async #fetchFloor(peer: string): Promise<void> {
    const { catalog, fetchUpstreams } = this.#options;
    const [held] = await Promise.all([
      fetchUpstreams(peer, NO_EVACUATION_HELD),
      this.#fetchConfiguration(peer, Infinity),
    ]);
    if (this.#closing.signal.aborted) return;
    catalog.mergeEvacuations(held?.evacuations);
    this.#settleDeferred();
  }

  async #pollPeersDuringOutage(): Promise<void> {
    let nextIndex = 0;
    while (!this.#closing.signal.aborted) {
      await this.#sleep(PEER_FETCH_INTERVAL_MS * (0.75 + Math.random() / 2));
      if (this.#platformLostAtMs === undefined) continue;
      const peers = this.#options.peers();
      if (peers.length === 0) continue;
      await this.#fetchFromPeer(peers[nextIndex % peers.length]!)
        .catch((error) => this.#options.onUnexpectedError(error));
      nextIndex += 1;
    }
  }

  async #fetchFromPeer(peer: string): Promise<void> {
    const { catalog, fetchUpstreams, onEvent } = this.#options;
    const { version, changeRevision } = catalog;
    const upstreams = await fetchUpstreams(peer, catalog.heldRevisions);
    if (this.#closing.signal.aborted) return;
    if (upstreams !== undefined) {
      this.#recordEra(upstreams.revision);
      this.#replaceFromPeer(upstreams);
      this.#settleDeferred();
    }
    await this.#fetchConfiguration(peer, Infinity);
    this.#isFloorKnown ||= catalog.index !== undefined;
    // A watch continues after the catalog's revision, so it would not deliver what is missing from before it.
    if (upstreams !== undefined && isComplete(upstreams, catalog.version)) {
      catalog.advance(upstreams.revision);
    }
    if (
      catalog.version === version && catalog.changeRevision === changeRevision
    ) return;
    onEvent({
      kind: "caught_up_from_peer",
      peer,
      version: catalog.version,
      changeRevision: catalog.changeRevision,
    });
  }

  async #sleep(durationMs: number): Promise<void> {
    const { signal } = this.#closing;
    await sleep(durationMs, undefined, { signal, ref: true }).catch(() => {
      // `close` aborts the sleep.
    });
  }
}

/**
 * Whether a daemon that holds a version has everything up to a snapshot's revision once it has taken it. A daemon of an
 * earlier version tells no evacuations.
 */
function isComplete(
  { version, evacuations, hasEvacuationsOnly }: UpstreamsSnapshot,
  heldVersion: number,
): boolean {
  return heldVersion >= version && evacuations !== undefined &&
    hasEvacuationsOnly !== true;
}

/** Chooses up to `count` items, evenly spread over a list. */
function spreadOver<T>(items: readonly T[], count: number): readonly T[] {
  const step = Math.max(1, items.length / count);
  return Array.from(
    { length: Math.min(count, items.length) },
    (_, i) => items[Math.floor(i * step)]!,
  );
}
