import {
  type Clock,
  type Membership,
  type MembershipDump,
  type Random,
  SYSTEM_CLOCK,
  SYSTEM_RANDOM,
} from "@tanagercove/membership";
import type { LogRecord } from "@tanagercove/logs";
import type { PlatformPort } from "@tanagercove/platform";
import type { RpcCaller, RpcHandlers } from "@tanagercove/rpc";
import type { SnapshotId, SnapshotKind } from "@tanagercove/types";
import type { OfferCounts, RefusedVersion } from "@tanagercove/versions";
import { Confirmations } from "./confirmations.ts";
import { join, type JoinOutcome } from "./joining.ts";
import { DigestExchange } from "./digest_exchange.ts";
import { encodeNotice } from "./messages.ts";
import {
  type DistributionTuning,
  resolveTuning,
  type Weight,
} from "./options.ts";
import { PauseGate } from "./pause_gate.ts";
import { createPeerHandlers } from "./peer_handlers.ts";
import {
  type PlatformCounts,
  PlatformWatch,
  type WatchRole,
} from "./platform_watch.ts";
import {
  Replication,
  type ReplicationCounts,
  type SnapshotStores,
} from "./replication.ts";

/** Options of `Distribution`. */
export interface DistributionOptions {
  readonly membership: Membership;
  readonly stores: SnapshotStores;
  readonly rpc: RpcCaller;
  readonly platform: PlatformPort;
  readonly weight?: Weight;
  /** Overrides the defaults, including those that `weight` sets. */
  readonly tuning?: Partial<DistributionTuning>;
  readonly clock?: Clock;
  readonly random?: Random;
  /** Response to `status.summary`; plain JSON. */
  readonly summary?: () => unknown;
  readonly onEvent?: (record: LogRecord) => void;
}

/** State of one store for operators. */
export interface StoreDump {
  readonly held: SnapshotId | null;
  readonly floor: number;
  readonly offers: OfferCounts;
  readonly refused: readonly RefusedVersion[];
}

/** State of the distribution for operators; plain JSON. */
export interface DistributionDump {
  readonly ready: boolean;
  readonly floorUnconfirmed: boolean;
  readonly join: JoinOutcome | null;
  readonly role: WatchRole;
  readonly confirmationAgeMs: number | null;
  readonly pauses: number;
  readonly malformedMessages: number;
  readonly tuning: DistributionTuning;
  readonly platform: PlatformCounts;
  readonly replication: ReplicationCounts;
  readonly versions: Readonly<Record<SnapshotKind, StoreDump>>;
  readonly membership: MembershipDump;
}

const REFRESH_PEERS_IN_ZONE = 2;
const REFRESH_PEERS_IN_OTHER_ZONES = 1;
const REPLACEMENTS_QUERIED = 2;

/** Keeps the stores at the newest version that the platform or any reachable daemon has. */
export class Distribution {
  /** Handlers of RPC calls from other daemons. */
  readonly handlers: RpcHandlers;
  readonly #options: DistributionOptions;
  readonly #clock: Clock;
  readonly #tuning: DistributionTuning;
  readonly #replication: Replication;
  readonly #confirmations: Confirmations;
  readonly #digests: DigestExchange;
  readonly #watch: PlatformWatch;
  readonly #gate: PauseGate;
  readonly #stop = new AbortController();
  #task: Promise<void> | undefined;
  #join: JoinOutcome | undefined;
  #floorUnconfirmed = false;
  #malformed = 0;

  constructor(options: DistributionOptions) {
    const { membership, stores, rpc, platform } = options;
    const clock = options.clock ?? SYSTEM_CLOCK;
    const random = options.random ?? SYSTEM_RANDOM;
    const tuning = resolveTuning(options.tuning, options.weight);
    this.#options = options;
    this.#clock = clock;
    this.#tuning = tuning;
    this.#confirmations = new Confirmations({
      clock,
      membership,
      staleAfterMs: tuning.staleAfterMs,
    });
    this.#replication = new Replication({
      stores,
      membership,
      rpc,
      clock,
      tuning,
      isWatching: () => this.#watch.isWatching,
      onTaken: () => this.#digests.startFollowUp(this.#stop.signal),
      onEvent: options.onEvent ?? (() => {}),
    });
    this.#digests = new DigestExchange({
      membership,
      replication: this.#replication,
      confirmations: this.#confirmations,
      clock,
      random,
      tuning,
      onMalformed: () => this.#malformed += 1,
    });
    this.#watch = new PlatformWatch({
      platform,
      replication: this.#replication,
      membership,
      confirmations: this.#confirmations,
      clock,
      random,
      tuning,
      queryReaders: () => this.#queryReaders(),
    });
    this.#gate = new PauseGate({
      clock,
      refresh: (pausedMs) => this.#refresh(pausedMs),
      thresholdMs: tuning.pauseThresholdMs,
      maxWaitMs: tuning.pauseGateMs,
    });
    this.handlers = this.#createHandlers();
  }

  /** Whether joining has ended and the held lists are at least as new as the newest that joining found. */
  get isReady(): boolean {
    const { lists } = this.#options.stores;
    return this.#join !== undefined && lists.held !== undefined &&
      lists.held.revision >= lists.floor;
  }

  /**
   * Resolves when requests may be routed. Resolves at once, except after a pause of the process: then it waits
   * until the versions are refreshed, at most `pauseGateMs`.
   */
  whenFresh(): Promise<void> {
    return this.#gate.whenFresh();
  }

  /** Joins the fleet, then keeps the stores up to date until `close()`. */
  start(): void {
    this.#gate.start();
    this.#task = this.#run();
  }

  /**
   * Time since the platform last confirmed the versions in force to any daemon, as far as this one knows;
   * undefined before the first confirmation.
   */
  get confirmationAgeMs(): number | undefined {
    return this.#confirmations.knownAgeMs;
  }

  /**
   * Whether joining ended without an answer from another daemon that holds lists. If so, this daemon does not
   * know which version was in force.
   */
  get floorUnconfirmed(): boolean {
    return this.#floorUnconfirmed;
  }

  /** Notifies peers that this daemon is leaving; its digests repeat the notice. */
  async announceLeaving(): Promise<void> {
    const { membership } = this.#options;
    membership.startLeaving();
    const notice = encodeNotice({ ...this.#replication.sender, ageMs: 0 });
    const peers = [
      ...membership.pickInZone(this.#tuning.fanOut),
      ...membership.pickInOtherZones(this.#tuning.zoneLinks),
    ];
    await Promise.all(
      peers.map((peer) =>
        this.#replication.call(peer, "membership.leaving", notice)
      ),
    );
  }

  /** Ends all tasks. The caller closes the RPC client first, which ends open calls. */
  async close(): Promise<void> {
    this.#stop.abort();
    await this.#gate.close();
    await this.#task;
    await this.#watch.close();
    await this.#replication.close();
  }

  dump(): DistributionDump {
    return {
      ready: this.isReady,
      floorUnconfirmed: this.#floorUnconfirmed,
      join: this.#join ?? null,
      role: this.#watch.role,
      confirmationAgeMs: this.#confirmations.knownAgeMs ?? null,
      pauses: this.#gate.pauses,
      malformedMessages: this.#malformed,
      tuning: this.#tuning,
      platform: this.#watch.counts,
      replication: this.#replication.counts,
      versions: {
        lists: this.#dumpStore("lists"),
        vms: this.#dumpStore("vms"),
      },
      membership: this.#options.membership.dump(),
    };
  }

  async #run(): Promise<void> {
    const signal = this.#stop.signal;
    const outcome = await join({
      membership: this.#options.membership,
      replication: this.#replication,
      platform: this.#options.platform,
      clock: this.#clock,
      timeoutMs: this.#tuning.joinTimeoutMs,
      signal,
      exchange: (peer) => this.#digests.exchange(peer),
    });
    if (signal.aborted) return;
    this.#join = outcome;
    this.#floorUnconfirmed = outcome.holders === 0;
    const elapsedMs = Math.round(outcome.tookMs);
    this.#replication.event(
      this.#floorUnconfirmed
        ? { event: "floor_unconfirmed", elapsed_ms: elapsedMs }
        : {
          event: "joined",
          revision: this.#options.stores.lists.floor,
          responses: outcome.responses,
          elapsed_ms: elapsedMs,
        },
    );
    this.#watch.start();
    await this.#digests.run(signal);
  }

  /**
   * Exchanges digests with the zone's readers and with the daemons that directly precede this one in rank, which
   * replace lost readers before it does.
   */
  async #queryReaders(): Promise<void> {
    const { membership } = this.#options;
    const vmIds = new Set([
      ...membership.readersInZone(),
      ...membership.precedingByRank(REPLACEMENTS_QUERIED),
    ]);
    const peers = [...vmIds].flatMap((vmId) => membership.peer(vmId) ?? []);
    await Promise.all(peers.map((peer) => this.#digests.synchronize(peer)));
  }

  /**
   * Closes connections that may have died during a pause and updates the versions; resolves when one exchange
   * has succeeded and its fetches have ended, or when all exchanges have failed.
   */
  async #refresh(pausedMs: number): Promise<void> {
    const { membership, rpc } = this.#options;
    const pauseMs = Math.round(pausedMs);
    this.#replication.event({ event: "pause_detected", pause_ms: pauseMs });
    rpc.closeIdle();
    const peers = [
      ...membership.pickInZone(REFRESH_PEERS_IN_ZONE),
      ...membership.pickInOtherZones(REFRESH_PEERS_IN_OTHER_ZONES),
    ];
    const exchanges = peers.map(async (peer) => {
      const answered = await this.#digests.synchronize(peer);
      return answered ? Promise.resolve() : Promise.reject();
    });
    const firstAnswer = Promise.any(exchanges).catch(() => {});
    this.#replication.runInBackground(Promise.allSettled(exchanges));
    await firstAnswer;
  }

  #createHandlers(): RpcHandlers {
    const { membership, summary } = this.#options;
    const replication = this.#replication;
    return createPeerHandlers({
      handleDigest: (theirs) => this.#digests.handleDigest(theirs),
      handlePush: (push) => {
        membership.recordMessageFrom(push.sender.vmId, push.sender.processId);
        return replication.handlePush(push);
      },
      handleFetch: (request) => replication.handleFetch(request),
      addNotice: (notice) => this.#digests.addNotice(notice),
      summary: () => summary?.() ?? {},
      onMalformed: () => this.#malformed += 1,
    });
  }

  #held(kind: SnapshotKind): SnapshotId | undefined {
    const held = this.#options.stores[kind].held;
    return held && { revision: held.revision, hash: held.hash };
  }

  #dumpStore(kind: SnapshotKind): StoreDump {
    const { floor, counts: offers, refused } = this.#options.stores[kind];
    return { held: this.#held(kind) ?? null, floor, offers, refused };
  }
}
