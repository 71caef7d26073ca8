import type { RouteConfiguration, UpstreamEntry } from "@tanagercove/types";
import { computeRouteIndex, type RouteIndex } from "@tanagercove/routing";
import {
  Evacuations,
  type EvacuationState,
  type ZoneEvacuation,
} from "./evacuations.ts";
import { eraOf, storeRevisionOf } from "./revisions.ts";
import { type SharedConfiguration, shareRoutes } from "./share_routes.ts";
import type { CatalogChange, CatalogUpdate } from "./source_port.ts";

/** An upstream entry and the revision that last changed it. */
export interface HeldUpstream {
  readonly entry: UpstreamEntry;
  readonly revision: number;
  /** Time on this daemon's clock at which this instance of the upstream was first seen. */
  readonly seenAtMs: number;
  /** Time on this daemon's clock until which the upstream is cold, according to its entry. */
  readonly coldUntilMs: number;
}

/** Effect of a change on the catalog. */
export type CatalogEvent =
  | { readonly kind: "configuration_taken"; readonly version: number }
  | {
    readonly kind: "configuration_ignored";
    readonly version: number;
    readonly heldVersion: number;
  }
  | { readonly kind: "upstream_taken"; readonly entry: UpstreamEntry }
  | {
    readonly kind: "upstream_removed";
    readonly id: string;
    readonly service: string;
  }
  | { readonly kind: "removal_deferred"; readonly id: string }
  | {
    readonly kind: "evacuation_taken";
    readonly zone: string;
    readonly isEvacuated: boolean;
  }
  | {
    readonly kind: "unreadable";
    readonly key: string;
    /** Set when the value is the entry of an upstream. */
    readonly upstreamId: string | undefined;
    readonly problem: string;
  };

/** Options of `Catalog`. */
export interface CatalogOptions {
  /** Monotonic time in milliseconds. */
  readonly nowMs?: () => number;
  readonly onEvent?: (event: CatalogEvent) => void;
}

/**
 * Maximum number of upstream changes kept for daemons that follow this one; beyond it the older half is dropped. A
 * follower whose position is no longer kept gets a full snapshot.
 */
const MAX_LOGGED_CHANGES = 1_000;

/** Number of configuration versions kept, so that followers that hold one of them get a delta. */
const MAX_KEPT_VERSIONS = 4;

/**
 * Limit on the routes that only the kept versions need. A route takes about 400 bytes, so these take at most 2 MB. All
 * versions share what they have in common.
 */
const MAX_KEPT_ROUTES = 5_000;

/** Options of `Catalog.replace`. */
export interface ReplaceOptions {
  /** Keeps removed entries until `applyDeferredRemovals`. */
  readonly deferRemovals?: boolean;
  /** Whether the update holds all changes up to its revision, those of the configuration included. */
  readonly advances?: boolean;
}

/** What a daemon holds of the upstreams and evacuations. */
export interface HeldRevisions {
  readonly upstreamRevision: number;
  /** Of the newest change of an evacuation; -1 if it is not known which zones are evacuated. */
  readonly evacuationRevision: number;
}

const UNKNOWN_REVISION = -1;

/** All upstreams that a daemon holds, and the version of the configuration that it held at the same time. */
export interface UpstreamsSnapshot extends CatalogUpdate {
  readonly version: number;
  /** Whether it has only the evacuations, as the daemon that asks lacks nothing else. */
  readonly hasEvacuationsOnly?: boolean;
}

/** Changes of upstreams and evacuations since a position in the change log. */
export interface LoggedChanges {
  /** Log position after these changes. */
  readonly position: number;
  readonly changes: readonly CatalogChange[];
}

/** Time for which removals are kept to detect stale updates; no update arrives that late. */
const REMOVAL_RETENTION_MS = 60_000;

interface KeptVersion {
  readonly configuration: RouteConfiguration;
  /** Number of its routes that the next version does not share. */
  ownRoutes: number;
}

interface Removal {
  readonly revision: number;
  readonly atMs: number;
  /** The entry that was removed, if it was held. */
  readonly held?: HeldUpstream | undefined;
}

/**
 * Routes and upstreams that this daemon holds. The version of the configuration
 * and the revision of each entry never decrease, even if updates arrive late or
 * more than once.
 */
export class Catalog {
  readonly #nowMs: () => number;
  readonly #onEvent: (event: CatalogEvent) => void;
  #index: RouteIndex | undefined;
  #revision = 0;
  #changeRevision = 0;
  #upstreamRevision = 0;
  #configurationRevision = 0;
  readonly #upstreams = new Map<string, HeldUpstream>();
  readonly #byService = new Map<string, HeldUpstream[]>();
  readonly #removals = new Map<string, Removal>();
  readonly #evacuations = new Evacuations();
  /** Changes of upstreams and evacuations in the order in which this daemon applied them. */
  #log: CatalogChange[] = [];
  #logStart = 0;
  readonly #keptVersions: KeptVersion[] = [];
  readonly #waiters = new Set<() => void>();
  /** Deferred removals by upstream id. A removal is cancelled if the entry comes back before the removal is applied. */
  readonly #deferredRemovals = new Map<string, Removal>();

  constructor(options: CatalogOptions = {}) {
    this.#nowMs = options.nowMs ?? (() => performance.now());
    this.#onEvent = options.onEvent ?? (() => {});
  }

  /** Lookup index of the configuration in force. */
  get index(): RouteIndex | undefined {
    return this.#index;
  }

  /** Version of the configuration in force; 0 before the first one. */
  get version(): number {
    return this.#index?.configuration.version ?? 0;
  }

  /** Platform revision up to which all changes are known here. */
  get revision(): number {
    return this.#revision;
  }

  get upstreams(): ReadonlyMap<string, HeldUpstream> {
    return this.#upstreams;
  }

  /**
   * Highest revision of the changes passed to `apply`; unlike `revision`, it does not increase without a change, nor with
   * a configuration that is not newer, which followers do not hear of.
   */
  get changeRevision(): number {
    return this.#changeRevision;
  }

  /** Like `changeRevision`, but of the upstreams only. */
  get upstreamRevision(): number {
    return this.#upstreamRevision;
  }

  get heldRevisions(): HeldRevisions {
    return {
      upstreamRevision: this.#upstreamRevision,
      evacuationRevision: this.knowsEvacuations
        ? this.#evacuations.changeRevision
        : UNKNOWN_REVISION,
    };
  }

  /** Platform revision of the configuration in force. */
  get configurationRevision(): number {
    return this.#configurationRevision;
  }

  /** Platform revision up to which everything is known that the operator has written, which may be past `revision`. */
  get operatorRevision(): number {
    return Math.max(
      this.#revision,
      Math.min(this.#configurationRevision, this.#evacuations.listRevision),
    );
  }

  /** Upstreams and evacuations that are kept although the platform no longer lists them. */
  get deferredRemovals(): number {
    return this.#deferredRemovals.size + this.#evacuations.deferred;
  }

  /** Whether the operator asks that the upstreams of a zone get no more requests. */
  isEvacuated(zone: string): boolean {
    return this.#evacuations.has(zone);
  }

  /** Revision as of which it is known whether a zone is evacuated. */
  evacuationRevisionOf(zone: string): number {
    return this.#evacuations.revisionOf(zone);
  }

  get evacuatedZones(): readonly string[] {
    return this.#evacuations.zones;
  }

  /** Whether it is known which zones are evacuated, if any. */
  get knowsEvacuations(): boolean {
    return this.#evacuations.isKnown;
  }

  /** All that is known of evacuations, for another daemon; undefined before it is known. */
  get evacuations(): EvacuationState | undefined {
    return this.#evacuations.state();
  }

  /** Upstreams of a service, including leaving ones. */
  upstreamsOf(service: string): readonly HeldUpstream[] {
    const cached = this.#byService.get(service);
    if (cached !== undefined) return cached;
    const matching = [...this.#upstreams.values()].filter(({ entry }) =>
      entry.service === service
    );
    this.#byService.set(service, matching);
    return matching;
  }

  /** Applies changes; with `deferRemovals`, removed entries are kept until `applyDeferredRemovals`. */
  apply(
    changes: readonly CatalogChange[],
    { deferRemovals = false }: { readonly deferRemovals?: boolean } = {},
  ): void {
    for (const change of changes) {
      if (change.kind === "configuration") {
        this.#applyConfiguration(change.configuration, change.revision);
        continue;
      }
      if (change.kind === "evacuation") {
        this.#applyEvacuation(change);
        continue;
      }
      this.#recordUpstreamRevision(change.revision);
      if (change.kind === "upstream") {
        this.#applyUpstream(change.entry, change.revision);
      } else if (change.kind === "upstream_removed") {
        this.#remove(change.id, change.revision, deferRemovals);
      } else {
        this.#onEvent(change);
        // The unreadable value has replaced the entry that was stored under its key.
        if (change.upstreamId !== undefined) {
          this.#remove(change.upstreamId, change.revision, deferRemovals);
        }
      }
    }
  }

  /**
   * Applies a full update; upstreams that are missing from it are removed unless a later revision changed them. The
   * catalog's own revision is advanced to that of the update, unless `advances` is false.
   */
  replace(
    update: CatalogUpdate,
    { deferRemovals = false, advances = true }: ReplaceOptions = {},
  ): void {
    const listed = new Set(
      update.changes.flatMap((change) =>
        change.kind === "upstream" ? [change.entry.id] : []
      ),
    );
    this.mergeEvacuations(update.evacuations);
    this.apply(update.changes, { deferRemovals });
    for (const [id, held] of [...this.#upstreams]) {
      if (listed.has(id) || held.revision > update.revision) continue;
      this.#remove(id, update.revision, deferRemovals);
    }
    this.#recordUpstreamRevision(update.upstreamRevision ?? 0);
    if (advances) this.advance(update.revision);
  }

  /** Takes the evacuations that the platform lists or that another daemon tells, if it does. */
  mergeEvacuations(state: EvacuationState | undefined): void {
    if (state === undefined) return;
    const before = new Set(this.evacuatedZones);
    for (const taken of this.#evacuations.merge(state)) {
      this.#recordEvacuation(taken, before.has(taken.zone));
    }
    this.#changeRevision = Math.max(this.#changeRevision, state.changeRevision);
  }

  /** Records that all changes up to a revision are known. */
  advance(revision: number): void {
    this.#revision = Math.max(this.#revision, revision);
  }

  /** Current position in the log of changes. */
  get position(): number {
    return this.#logStart + this.#log.length;
  }

  /** Changes since a position; undefined if the log does not contain the position, or no longer does. */
  changesSince(position: number): LoggedChanges | undefined {
    if (position < this.#logStart || position > this.position) return undefined;
    const changes = this.#log.slice(position - this.#logStart);
    return { position: this.position, changes };
  }

  /** The configuration with the given version; undefined if it was never in force here or is no longer kept. */
  keptVersion(version: number): RouteConfiguration | undefined {
    return this.#keptVersions.find(({ configuration }) =>
      configuration.version === version
    )?.configuration;
  }

  /** Resolves at the next change or call of `wakeFollowers`, or after the timeout. */
  whenChanged(timeoutMs: number): Promise<void> {
    return new Promise((resolve) => {
      const settle = () => {
        clearTimeout(timer);
        this.#waiters.delete(settle);
        resolve();
      };
      const timer = setTimeout(settle, timeoutMs);
      this.#waiters.add(settle);
    });
  }

  /** All upstreams held, for another daemon. */
  snapshot(): UpstreamsSnapshot {
    const changes: CatalogChange[] = [...this.#upstreams.values()].map((
      { entry, revision },
    ) => ({ kind: "upstream", revision, entry }));
    return this.#snapshotOf(changes);
  }

  #snapshotOf(changes: readonly CatalogChange[]): UpstreamsSnapshot {
    const { evacuations } = this;
    return {
      revision: this.#revision,
      upstreamRevision: this.#upstreamRevision,
      version: this.version,
      ...(evacuations && { evacuations }),
      changes,
    };
  }

  /** What another daemon lacks that holds these revisions; undefined if it knows as much. */
  newerSnapshot(held: HeldRevisions): UpstreamsSnapshot | undefined {
    const own = this.heldRevisions;
    if (own.upstreamRevision > held.upstreamRevision) return this.snapshot();
    return own.evacuationRevision > held.evacuationRevision
      ? { ...this.#snapshotOf([]), hasEvacuationsOnly: true }
      : undefined;
  }

  /** Applies the deferred removals of upstreams and evacuations that have not come back. */
  applyDeferredRemovals(): void {
    for (const ended of this.#evacuations.endDeferred()) {
      this.#recordEvacuation(ended, true);
    }
    const due = [...this.#deferredRemovals];
    this.#deferredRemovals.clear();
    for (const [id, { revision }] of due) this.#remove(id, revision, false);
  }

  /** Puts a configuration in force if its version is newer than the current one. */
  #applyConfiguration(
    configuration: RouteConfiguration,
    revision: number,
  ): void {
    const { version } = configuration;
    if (version <= this.version) {
      if (version === this.version) return;
      const heldVersion = this.version;
      this.#onEvent({ kind: "configuration_ignored", version, heldVersion });
      return;
    }
    const shared = shareRoutes(configuration, this.#index);
    this.#index = computeRouteIndex(shared.configuration);
    this.#keepVersion(shared);
    this.wakeFollowers();
    this.#configurationRevision = revision;
    this.#changeRevision = Math.max(this.#changeRevision, revision);
    this.#onEvent({ kind: "configuration_taken", version });
  }

  #keepVersion(
    { configuration, formerRoutesOnly }: SharedConfiguration,
  ): void {
    const kept = this.#keptVersions;
    const former = kept.at(-1);
    if (former !== undefined) former.ownRoutes = formerRoutesOnly;
    kept.push({ configuration, ownRoutes: 0 });
    const routeCount = () =>
      kept.reduce((sum, { ownRoutes }) => sum + ownRoutes, 0);
    while (kept.length > MAX_KEPT_VERSIONS || routeCount() > MAX_KEPT_ROUTES) {
      kept.shift();
    }
  }

  #applyEvacuation(change: ZoneEvacuation): void {
    this.#changeRevision = Math.max(this.#changeRevision, change.revision);
    const wasEvacuated = this.isEvacuated(change.zone);
    if (!this.#evacuations.take(change)) return;
    this.#recordEvacuation(change, wasEvacuated);
  }

  /** Tells followers and observers of a change that has been taken. */
  #recordEvacuation(
    { zone, revision, isEvacuated }: ZoneEvacuation,
    wasEvacuated: boolean,
  ): void {
    this.#logChange({ kind: "evacuation", zone, revision, isEvacuated });
    if (isEvacuated === wasEvacuated) return;
    this.#onEvent({ kind: "evacuation_taken", zone, isEvacuated });
  }

  #applyUpstream(entry: UpstreamEntry, revision: number): void {
    const held = this.#upstreams.get(entry.id);
    const removed = this.#removals.get(entry.id);
    if (revision <= (held?.revision ?? 0)) return;
    if (revision <= (removed?.revision ?? 0)) return;
    if (
      removed !== undefined && isFromOlderCopy(removed, { entry, revision })
    ) {
      return;
    }
    // Another daemon that keeps it for a while knows it from before the platform's store lost it.
    const isOfEarlierEra = eraOf(revision) < eraOf(this.#revision);
    if (held === undefined && isOfEarlierEra) return;
    this.#deferredRemovals.delete(entry.id);
    this.#removals.delete(entry.id);
    const taken = held !== undefined && eraOf(revision) > eraOf(held.revision)
      ? laterEntry(held.entry, entry)
      : entry;
    const isSameInstance = held !== undefined &&
      held.entry.bornMs === taken.bornMs &&
      held.entry.address === taken.address && held.entry.port === taken.port;
    const nowMs = this.#nowMs();
    const isColdTimeKept = isSameInstance &&
      held.entry.coldMs === taken.coldMs;
    this.#upstreams.set(entry.id, {
      entry: taken,
      revision,
      seenAtMs: isSameInstance ? held.seenAtMs : nowMs,
      // An entry may be written again for another reason, with the remaining time of its first version.
      coldUntilMs: isColdTimeKept ? held.coldUntilMs : nowMs + taken.coldMs,
    });
    this.#byService.clear();
    this.#logChange({ kind: "upstream", revision, entry: taken });
    this.#onEvent({ kind: "upstream_taken", entry: taken });
  }

  #remove(id: string, revision: number, defer: boolean): void {
    const held = this.#upstreams.get(id);
    if (held === undefined || held.revision > revision) {
      if (held === undefined) this.#recordRemoval(id, revision);
      return;
    }
    if (defer) {
      if (this.#deferredRemovals.has(id)) return;
      this.#deferredRemovals.set(id, { revision, atMs: this.#nowMs() });
      this.#onEvent({ kind: "removal_deferred", id });
      return;
    }
    this.#upstreams.delete(id);
    this.#byService.clear();
    this.#recordRemoval(id, revision, held);
    this.#logChange({ kind: "upstream_removed", revision, id });
    const { service } = held.entry;
    this.#onEvent({ kind: "upstream_removed", id, service });
  }

  #recordUpstreamRevision(revision: number): void {
    this.#upstreamRevision = Math.max(this.#upstreamRevision, revision);
    this.#changeRevision = Math.max(this.#changeRevision, revision);
  }

  #logChange(change: CatalogChange): void {
    this.#log.push(change);
    if (this.#log.length > MAX_LOGGED_CHANGES) {
      const dropped = MAX_LOGGED_CHANGES / 2;
      this.#log = this.#log.slice(dropped);
      this.#logStart += dropped;
    }
    this.wakeFollowers();
  }

  /** Resolves all pending `whenChanged` calls. */
  wakeFollowers(): void {
    for (const settle of [...this.#waiters]) settle();
  }

  #recordRemoval(id: string, revision: number, held?: HeldUpstream): void {
    const atMs = this.#nowMs();
    this.#removals.set(id, { revision, atMs, held });
    for (const [removedId, removal] of this.#removals) {
      if (atMs - removal.atMs <= REMOVAL_RETENTION_MS) break;
      this.#removals.delete(removedId);
    }
  }
}

/**
 * Whether an entry was written before the removal of the same start of the upstream, and is back only because the
 * platform's store has forgotten the removal. What an upstream writes in the new era mostly has a later number than its
 * entry had before.
 */
function isFromOlderCopy(
  { revision: removedAt, held }: Removal,
  { entry, revision }: Pick<HeldUpstream, "entry" | "revision">,
): boolean {
  if (held === undefined || eraOf(revision) <= eraOf(removedAt)) return false;
  return isEarlierStart(entry, held.entry) ||
    entry.bornMs === held.entry.bornMs &&
      storeRevisionOf(revision) <= storeRevisionOf(held.revision);
}

/**
 * The entry to hold in place of one of an earlier era. The platform's store may have forgotten that the upstream has
 * started again, or that it leaves; one that has said so does not become ready again in the same start.
 */
function laterEntry(held: UpstreamEntry, told: UpstreamEntry): UpstreamEntry {
  if (isEarlierStart(told, held)) return held;
  return told.bornMs === held.bornMs && held.state === "draining"
    ? { ...told, state: "draining" }
    : told;
}

function isEarlierStart(a: UpstreamEntry, b: UpstreamEntry): boolean {
  return a.bornMs < b.bornMs;
}
