import { randomBytes } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import {
  answerFeedRequest,
  Catalog,
  type CatalogChange,
  type CatalogEvent,
  type CatalogSource,
  CatalogSync,
  type CatalogSyncEvent,
  type CatalogUpdate,
  configurationUpdateFrom,
  type FeedRequest,
} from "@tanagercove/catalog";
import type { PlatformError } from "@tanagercove/errors";
import type { RouteConfiguration, UpstreamEntry } from "@tanagercove/types";
import { Result } from "true-myth";
import { higherRankedReaders, zoneAddresses } from "./daemon_addresses.ts";
import { ZoneLinks } from "./zone_links.ts";

/** The zone of all VMs of a `ZoneFixture`. */
export const ZONE = "a";

/** Port of each daemon of a `ZoneFixture` for other daemons. */
const PEER_PORT = 7_000;

/** Time after which a call to an address without an answer fails. */
const SILENCE_MS = 300;

/** Times after which calls to a silent platform fail, as in the client of the platform's store. */
const READ_TIMEOUT_MS = 1_500;
const WATCH_GRACE_MS = 400;

/** A VM of a `ZoneFixture`. */
export interface VmOptions {
  readonly address: string;
  readonly linkMbps?: number;
  /** What this daemon takes for the link of another VM; by default, what it has learnt. */
  readonly linkMbpsOf?: (address: string) => number | undefined;
  /** VMs that this daemon knows before it has read anything; none by default. */
  readonly seeds?: readonly string[];
  /** Called when the catalog of this daemon takes a change. */
  readonly onCatalog?: (event: CatalogEvent) => void;
}

/** A call that a `FakePlatform` received. */
export interface PlatformCall {
  readonly from: string;
  readonly kind: "watch" | "read";
  readonly atMs: number;
}

const CONFIGURATION_KEY = "configuration";

/** A platform in memory that the daemons of a `ZoneFixture` read. */
export class FakePlatform {
  readonly calls: PlatformCall[] = [];
  isDown = false;
  /** While true, calls get no answer. */
  isSilent = false;
  #revision = 0;
  readonly #items = new Map<string, CatalogChange>();
  readonly #waiters = new Set<() => void>();

  putConfiguration(configuration: RouteConfiguration): void {
    this.#put(CONFIGURATION_KEY, (revision) => ({
      kind: "configuration",
      revision,
      configuration,
    }));
  }

  putUpstream(entry: UpstreamEntry): void {
    this.#put(entry.id, (revision) => ({ kind: "upstream", revision, entry }));
  }

  removeUpstream(id: string): void {
    this.#put(id, (revision) => ({ kind: "upstream_removed", revision, id }));
  }

  /** Writes that the operator evacuates a zone, or takes that back. */
  setEvacuated(zone: string, isEvacuated: boolean): void {
    this.#put(`evacuation of ${zone}`, (revision) => ({
      kind: "evacuation",
      revision,
      zone,
      isEvacuated,
    }));
  }

  /** Ends the watches that wait, which then fail if the platform is down. */
  cutWatches(): void {
    for (const wake of [...this.#waiters]) wake();
  }

  /** The platform as the daemon at an address reads it. */
  sourceFor(from: string): CatalogSource {
    return {
      readAll: async () => {
        if (this.isSilent) return await timeoutAfter(READ_TIMEOUT_MS);
        return this.#answer({ from, kind: "read" }, 0);
      },
      watch: async ({ afterRevision, waitMs, signal }) => {
        const startedMs = performance.now();
        if (!this.isDown && this.#revision <= afterRevision) {
          await this.#nextChange(waitMs, signal);
        }
        if (this.isSilent) {
          const elapsedMs = performance.now() - startedMs;
          return await timeoutAfter(waitMs + WATCH_GRACE_MS - elapsedMs);
        }
        return this.#answer({ from, kind: "watch" }, afterRevision);
      },
      close: () => Promise.resolve(),
    };
  }

  #put(key: string, change: (revision: number) => CatalogChange): void {
    this.#revision += 1;
    this.#items.set(key, change(this.#revision));
    this.cutWatches();
  }

  #answer(
    call: Omit<PlatformCall, "atMs">,
    afterRevision: number,
  ): Result<CatalogUpdate, PlatformError> {
    this.calls.push({ ...call, atMs: performance.now() });
    if (this.isDown) {
      return Result.err({ kind: "unavailable", status: 503 });
    }
    const items = [...this.#items.values()];
    const revision = this.#revision;
    if (call.kind === "watch") {
      const changes = items.filter((item) => item.revision > afterRevision);
      return Result.ok({ revision, changes });
    }
    const changes = items.filter(({ kind }) =>
      kind !== "upstream_removed" && kind !== "evacuation"
    );
    const zones = items.flatMap((item) =>
      item.kind === "evacuation" && item.isEvacuated ? [item] : []
    );
    const changeRevision = Math.max(0, ...zones.map((zone) => zone.revision));
    return Result.ok({
      revision,
      changes,
      evacuations: { revision, changeRevision, zones },
    });
  }

  #nextChange(waitMs: number, signal: AbortSignal | undefined): Promise<void> {
    return new Promise((resolve) => {
      const settle = () => {
        clearTimeout(timer);
        this.#waiters.delete(settle);
        resolve();
      };
      const timer = setTimeout(settle, waitMs);
      this.#waiters.add(settle);
      signal?.addEventListener("abort", settle);
    });
  }
}

/** Reading of the platform and of other daemons, as in a sidecar, without its sockets. */
export class ZoneDaemon {
  readonly catalog: Catalog;
  readonly sync: CatalogSync;
  readonly links: ZoneLinks;
  readonly events: CatalogSyncEvent[] = [];
  readonly address: string;
  readonly linkMbps: number;
  readonly #feedId = randomBytes(6).toString("hex");

  constructor(
    fixture: ZoneFixture,
    { address, linkMbps = 5, linkMbpsOf, seeds = [], onCatalog }: VmOptions,
  ) {
    this.address = address;
    this.linkMbps = linkMbps;
    this.catalog = new Catalog({
      onEvent: (event) => {
        if (event.kind === "upstream_taken") this.links.refresh();
        onCatalog?.(event);
      },
    });
    const zoneVms = () => zoneAddresses(this.catalog, { zone: ZONE, address });
    this.links = new ZoneLinks({
      ownAddress: address,
      ownLinkMbps: linkMbps,
      zoneAddresses: zoneVms,
      exchange: async (keeper) => {
        const daemon = await fixture.reach(keeper);
        daemon?.links.record(address, linkMbps);
        return daemon?.links.table();
      },
    });
    const reach = (peer: string) => fixture.reach(addressOf(peer));
    this.sync = new CatalogSync({
      catalog: this.catalog,
      source: fixture.platform.sourceFor(address),
      ownPeer: peerAt(address),
      fetchUpstreams: async (peer, held) =>
        (await reach(peer))?.catalog.newerSnapshot(held),
      fetchConfiguration: async (peer, heldVersion) => {
        const catalog = (await reach(peer))?.catalog;
        return catalog && configurationUpdateFrom(catalog, heldVersion);
      },
      followPeer: async (peer, request) => {
        fixture.polls.push({ from: address, to: addressOf(peer) });
        const daemon = await reach(peer);
        const response = await daemon?.answer(request);
        return fixture.daemons.includes(daemon!) ? response : undefined;
      },
      peers: () =>
        [...zoneVms(), ...seeds].filter((other) => other !== address)
          .map(peerAt),
      higherRankedReaders: () =>
        higherRankedReaders({
          ownAddress: address,
          zoneAddresses: zoneVms(),
          linkMbpsOf: (other) =>
            other === address
              ? linkMbps
              : (linkMbpsOf ?? this.links.linkMbpsOf.bind(this.links))(other),
        }).map(peerAt),
      onEvent: (event) => this.events.push(event),
      onUnexpectedError(error) {
        throw error;
      },
    });
  }

  start(): void {
    this.sync.start();
    this.links.start();
  }

  async close(): Promise<void> {
    await Promise.all([this.sync.close(), this.links.close()]);
  }

  answer(request: FeedRequest): ReturnType<typeof answerFeedRequest> {
    return answerFeedRequest({
      catalog: this.catalog,
      feedId: this.#feedId,
      request,
      isInContact: () =>
        this.catalog.revision > 0 && this.sync.platformLostAtMs === undefined,
      readers: () => this.sync.readers,
      confirmedAgeMs: () => this.sync.confirmedAgeMs,
      confirmation: () => this.sync.confirmation,
    });
  }
}

/** A call from one daemon to another. */
export interface PeerCall {
  readonly from: string;
  readonly to: string;
}

/** Daemons that read one platform and follow each other, in one process. */
export class ZoneFixture {
  readonly platform = new FakePlatform();
  /** Long polls of followers, in the order in which they were sent. */
  readonly polls: PeerCall[] = [];
  readonly #daemons = new Map<string, ZoneDaemon>();
  readonly #silent = new Set<string>();

  get daemons(): readonly ZoneDaemon[] {
    return [...this.#daemons.values()];
  }

  /** Registers the upstream of a VM; `generation` tells apart the upstreams that use an address in turn. */
  register(address: string, generation = 1): void {
    this.platform.putUpstream({
      id: upstreamId(address, generation),
      service: "shop",
      address,
      port: 80,
      zone: ZONE,
      slots: 4,
      state: "ready",
      coldMs: 0,
      bornMs: generation,
    });
  }

  unregister(address: string, generation = 1): void {
    this.platform.removeUpstream(upstreamId(address, generation));
  }

  start(vm: VmOptions): ZoneDaemon {
    this.#silent.delete(vm.address);
    const daemon = new ZoneDaemon(this, vm);
    this.#daemons.set(vm.address, daemon);
    daemon.start();
    return daemon;
  }

  /** Ends a daemon. With `isSilent`, calls to its address get no answer, as after a loss of power. */
  async kill(address: string, { isSilent = false } = {}): Promise<void> {
    const daemon = this.#daemons.get(address);
    this.#daemons.delete(address);
    if (isSilent) this.#silent.add(address);
    await daemon?.close();
  }

  /** The daemon that a call to an address reaches; undefined if there is no answer. */
  async reach(to: string): Promise<ZoneDaemon | undefined> {
    if (this.#silent.has(to)) {
      await sleep(SILENCE_MS);
      return undefined;
    }
    await sleep(1);
    return this.#daemons.get(to);
  }

  async close(): Promise<void> {
    const closed = this.daemons.map((daemon) => daemon.close());
    this.platform.cutWatches();
    await Promise.all(closed);
  }
}

async function timeoutAfter(
  timeoutMs: number,
): Promise<Result<never, PlatformError>> {
  await sleep(Math.max(0, timeoutMs));
  return Result.err({ kind: "timeout", timeoutMs });
}

/** A configuration without routes. */
export function configurationAt(version: number): RouteConfiguration {
  return {
    version,
    routes: [],
    services: [],
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  };
}

function upstreamId(address: string, generation: number): string {
  return `${address}-${generation}`;
}

function peerAt(address: string): string {
  return `${address}:${PEER_PORT}`;
}

function addressOf(peer: string): string {
  return peer.slice(0, peer.lastIndexOf(":"));
}
