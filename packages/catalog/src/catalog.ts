import type { RouteConfiguration, UpstreamEntry } from "@tanagercove/types";
import { computeRouteIndex, type RouteIndex } from "@tanagercove/routing";
import type { CatalogChange, CatalogUpdate } from "./source_port.ts";

/** An entry and the revision that last changed it. */
export interface HeldUpstream {
  readonly entry: UpstreamEntry;
  readonly revision: number;
  /** Time of this daemon's clock at which this life of the upstream was first seen. */
  readonly seenAtMs: number;
}

/** What a change did to the catalog. */
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
    readonly kind: "unreadable";
    readonly key: string;
    readonly problem: string;
  };

/** Options of `Catalog`. */
export interface CatalogOptions {
  /** Monotonic time in milliseconds. */
  readonly nowMs?: () => number;
  readonly onEvent?: (event: CatalogEvent) => void;
}

/** Changes of upstreams kept for followers; one further behind gets everything. */
const MAX_LOGGED_CHANGES = 1_000;

/** Versions kept so that followers get only what differs. */
const MAX_KEPT_VERSIONS = 4;

/** Changes of upstreams since a position in the log. */
export interface LoggedChanges {
  /** Position after these changes. */
  readonly position: number;
  readonly changes: readonly CatalogChange[];
}

/** Removals older than this are forgotten; no reading is that late. */
const REMOVAL_MEMORY_MS = 60_000;

interface Removal {
  readonly revision: number;
  readonly atMs: number;
}

/**
 * Routes and upstreams that this daemon holds. The configuration's version and
 * the revision of each entry only rise, whatever arrives late or twice.
 */
export class Catalog {
  readonly #nowMs: () => number;
  readonly #onEvent: (event: CatalogEvent) => void;
  #index: RouteIndex | undefined;
  #revision = 0;
  #changeRevision = 0;
  #configurationRevision = 0;
  readonly #upstreams = new Map<string, HeldUpstream>();
  readonly #byService = new Map<string, HeldUpstream[]>();
  readonly #removals = new Map<string, Removal>();
  /** Changes of upstreams in the order in which they were taken here. */
  #log: CatalogChange[] = [];
  #logStart = 0;
  #keptVersions: RouteConfiguration[] = [];
  readonly #waiting = new Set<() => void>();
  /** Removals to carry out unless the entry comes back first, by upstream. */
  readonly #deferred = new Map<string, Removal>();

  constructor(options: CatalogOptions = {}) {
    this.#nowMs = options.nowMs ?? (() => performance.now());
    this.#onEvent = options.onEvent ?? (() => {});
  }

  /** The configuration in force, ready for lookups. */
  get index(): RouteIndex | undefined {
    return this.#index;
  }

  /** Version in force; 0 before the first one. */
  get version(): number {
    return this.#index?.configuration.version ?? 0;
  }

  /** Revision of the platform up to which everything is known here. */
  get revision(): number {
    return this.#revision;
  }

  get upstreams(): ReadonlyMap<string, HeldUpstream> {
    return this.#upstreams;
  }

  /** Revision of the newest change held; rises only with changes of routes or upstreams. */
  get changeRevision(): number {
    return this.#changeRevision;
  }

  /** Revision of the platform that brought the configuration in force. */
  get configurationRevision(): number {
    return this.#configurationRevision;
  }

  get deferredRemovals(): number {
    return this.#deferred.size;
  }

  /** Upstreams of a service, leaving ones included. */
  upstreamsOf(service: string): readonly HeldUpstream[] {
    const known = this.#byService.get(service);
    if (known !== undefined) return known;
    const found = [...this.#upstreams.values()].filter(({ entry }) =>
      entry.service === service
    );
    this.#byService.set(service, found);
    return found;
  }

  /** Takes changes; with `deferRemovals`, removed entries are kept until `settleRemovals`. */
  apply(
    changes: readonly CatalogChange[],
    { deferRemovals = false }: { readonly deferRemovals?: boolean } = {},
  ): void {
    for (const change of changes) {
      this.#changeRevision = Math.max(this.#changeRevision, change.revision);
      if (change.kind === "configuration") {
        this.#takeConfiguration(change.configuration, change.revision);
      } else if (change.kind === "upstream") {
        this.#takeUpstream(change.entry, change.revision);
      } else if (change.kind === "upstream_removed") {
        this.#remove(change.id, change.revision, deferRemovals);
      } else {
        this.#onEvent(change);
        // An unreadable entry replaces what was written under its key before.
        if (change.upstreamId !== undefined) {
          this.#remove(change.upstreamId, change.revision, deferRemovals);
        }
      }
    }
  }

  /** Takes a reading of everything; entries that it lacks are removed. */
  replace(
    reading: CatalogUpdate,
    options: { readonly deferRemovals?: boolean } = {},
  ): void {
    const listed = new Set(
      reading.changes.flatMap((change) =>
        change.kind === "upstream" ? [change.entry.id] : []
      ),
    );
    this.apply(reading.changes, options);
    for (const [id, held] of [...this.#upstreams]) {
      if (listed.has(id) || held.revision > reading.revision) continue;
      this.#remove(id, reading.revision, options.deferRemovals ?? false);
    }
    this.advance(reading.revision);
  }

  /** Notes that everything up to a revision is known. */
  advance(revision: number): void {
    this.#revision = Math.max(this.#revision, revision);
  }

  /** Position in the log of changes of upstreams. */
  get position(): number {
    return this.#logStart + this.#log.length;
  }

  /** Changes of upstreams since a position; undefined if they are not kept any more. */
  changesSince(position: number): LoggedChanges | undefined {
    if (position < this.#logStart || position > this.position) return undefined;
    const changes = this.#log.slice(position - this.#logStart);
    return { position: this.position, changes };
  }

  /** A version that was in force here lately. */
  keptVersion(version: number): RouteConfiguration | undefined {
    return this.#keptVersions.find((kept) => kept.version === version);
  }

  /** Resolves at the next change, or after a time. */
  whenChanged(timeoutMs: number): Promise<void> {
    return new Promise((resolve) => {
      const settle = () => {
        clearTimeout(timer);
        this.#waiting.delete(settle);
        resolve();
      };
      const timer = setTimeout(settle, timeoutMs);
      this.#waiting.add(settle);
    });
  }

  /** Everything held, for another daemon; the configuration only if it has an older one. */
  snapshot(haveVersion: number): CatalogUpdate {
    const changes: CatalogChange[] = [...this.#upstreams.values()].map((
      { entry, revision },
    ) => ({ kind: "upstream", revision, entry }));
    if (this.#index !== undefined && this.version > haveVersion) {
      const { configuration } = this.#index;
      const revision = this.#configurationRevision;
      changes.push({ kind: "configuration", revision, configuration });
    }
    return { revision: this.#revision, changes };
  }

  /** Carries out the deferred removals whose entries have not come back. */
  settleRemovals(): void {
    const due = [...this.#deferred];
    this.#deferred.clear();
    for (const [id, { revision }] of due) this.#remove(id, revision, false);
  }

  /** Takes a configuration unless one as new is held. */
  #takeConfiguration(
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
    this.#index = computeRouteIndex(configuration);
    this.#keptVersions.push(configuration);
    if (this.#keptVersions.length > MAX_KEPT_VERSIONS) {
      this.#keptVersions.shift();
    }
    this.wakeFollowers();
    this.#configurationRevision = revision;
    this.#onEvent({ kind: "configuration_taken", version });
  }

  #takeUpstream(entry: UpstreamEntry, revision: number): void {
    const held = this.#upstreams.get(entry.id);
    const removed = this.#removals.get(entry.id);
    if (revision <= (held?.revision ?? 0)) return;
    if (revision <= (removed?.revision ?? 0)) return;
    this.#deferred.delete(entry.id);
    this.#removals.delete(entry.id);
    const sameLife = held !== undefined &&
      held.entry.bornMs === entry.bornMs &&
      held.entry.address === entry.address && held.entry.port === entry.port;
    this.#upstreams.set(entry.id, {
      entry,
      revision,
      seenAtMs: sameLife ? held.seenAtMs : this.#nowMs(),
    });
    this.#byService.clear();
    this.#record({ kind: "upstream", revision, entry });
    this.#onEvent({ kind: "upstream_taken", entry });
  }

  #remove(id: string, revision: number, defer: boolean): void {
    const held = this.#upstreams.get(id);
    if (held === undefined || held.revision > revision) {
      if (held === undefined) this.#remember(id, revision);
      return;
    }
    if (defer) {
      if (this.#deferred.has(id)) return;
      this.#deferred.set(id, { revision, atMs: this.#nowMs() });
      this.#onEvent({ kind: "removal_deferred", id });
      return;
    }
    this.#upstreams.delete(id);
    this.#byService.clear();
    this.#remember(id, revision);
    this.#record({ kind: "upstream_removed", revision, id });
    const { service } = held.entry;
    this.#onEvent({ kind: "upstream_removed", id, service });
  }

  #record(change: CatalogChange): void {
    this.#log.push(change);
    if (this.#log.length > MAX_LOGGED_CHANGES) {
      const dropped = MAX_LOGGED_CHANGES / 2;
      this.#log = this.#log.slice(dropped);
      this.#logStart += dropped;
    }
    this.wakeFollowers();
  }

  /** Ends the waits of `whenChanged`. */
  wakeFollowers(): void {
    for (const settle of [...this.#waiting]) settle();
  }

  #remember(id: string, revision: number): void {
    const atMs = this.#nowMs();
    this.#removals.set(id, { revision, atMs });
    for (const [other, removal] of this.#removals) {
      if (atMs - removal.atMs <= REMOVAL_MEMORY_MS) break;
      this.#removals.delete(other);
    }
  }
}
