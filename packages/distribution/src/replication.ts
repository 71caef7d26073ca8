import { Result } from "true-myth";
import { formatRpcError } from "@tanagercove/errors";
import type { LogRecord } from "@tanagercove/logs";
import type { Clock, Membership, Peer } from "@tanagercove/membership";
import type { RpcCaller, RpcMethod } from "@tanagercove/rpc";
import type { Snapshot, SnapshotId, SnapshotKind } from "@tanagercove/types";
import {
  applyDelta,
  contentHash,
  type Delta,
  type OfferVerdict,
  type SnapshotStore,
} from "@tanagercove/versions";
import {
  encodeFetchRequest,
  encodePush,
  type FetchRequest,
  type FetchResponse,
  parseFetchResponse,
  type Push,
  type Sender,
} from "./messages.ts";
import type { DistributionTuning } from "./options.ts";

/** The stores of both kinds. */
export type SnapshotStores = {
  readonly [K in SnapshotKind]: SnapshotStore<K>;
};

/** Result of a push at its receiver. */
export type PushVerdict = "have" | "taken" | "fetching" | "refused";

/** Where a snapshot came from: the platform, or the id of a peer, which is `IP PORT` for a seed of unknown VM. */
export type SnapshotSource = "platform" | string;

/** Counters shown to operators. */
export interface ReplicationCounts {
  readonly pushesSent: number;
  readonly pushesFailed: number;
  readonly pushesReceived: number;
  readonly fetchesDone: number;
  readonly fetchesFailed: number;
  readonly deltaMismatches: number;
  readonly snapshotMismatches: number;
  readonly conflicts: number;
}

/** Options of `Replication`. */
export interface ReplicationOptions {
  readonly stores: SnapshotStores;
  readonly membership: Membership;
  readonly rpc: RpcCaller;
  readonly clock: Clock;
  readonly tuning: DistributionTuning;
  /** Whether this daemon watches the platform; if so, it pushes to other zones as well. */
  readonly isWatching: () => boolean;
  /** Called after a snapshot was taken and its pushes have started. */
  readonly onTaken: () => void;
  readonly onEvent: (record: LogRecord) => void;
}

/**
 * Limit of the running fetches of a kind, and also of the fetches that wait for them. Further fetches are
 * skipped, as they would only queue up.
 */
const MAX_CONCURRENT_FETCHES = 4;
/** Longest time that a fetch waits for a running one, which may deliver the same version. */
const FETCH_WAIT_MS = 300;

/** Offers snapshots to the stores, pushes those that are taken and fetches missing ones. */
export class Replication {
  readonly #options: ReplicationOptions;
  readonly #background = new Set<Promise<unknown>>();
  readonly #fetches: Record<SnapshotKind, Set<Promise<unknown>>> = {
    lists: new Set(),
    vms: new Set(),
  };
  readonly #waitingFetches: Record<SnapshotKind, number> = { lists: 0, vms: 0 };
  readonly #reportedConflicts = new Map<SnapshotKind, string>();
  readonly #counts: { -readonly [K in keyof ReplicationCounts]: number } = {
    pushesSent: 0,
    pushesFailed: 0,
    pushesReceived: 0,
    fetchesDone: 0,
    fetchesFailed: 0,
    deltaMismatches: 0,
    snapshotMismatches: 0,
    conflicts: 0,
  };
  #closed = false;

  constructor(options: ReplicationOptions) {
    this.#options = options;
  }

  get counts(): ReplicationCounts {
    return { ...this.#counts };
  }

  get sender(): Sender {
    const { vmId, processId } = this.#options.membership;
    return { vmId, processId };
  }

  /** Resolves when all background tasks have ended. */
  async close(): Promise<void> {
    this.#closed = true;
    await Promise.all(this.#background);
  }

  store<K extends SnapshotKind>(kind: K): SnapshotStore<K> {
    return this.#options.stores[kind];
  }

  /**
   * Whether this daemon should fetch a peer's version. The version must be newer than the held one, and must
   * not have been refused. While none is held, it must not be below the store's floor. Reports a conflict if
   * the held version has the same revision but another hash.
   */
  isBehind(kind: SnapshotKind, theirs: SnapshotId | undefined): boolean {
    if (theirs === undefined) return false;
    const store = this.#options.stores[kind];
    const held = store.held;
    if (held === undefined) {
      return theirs.revision >= store.floor && !store.isRefused(theirs);
    }
    if (theirs.revision === held.revision && theirs.hash !== held.hash) {
      this.#reportConflict(kind, theirs);
    }
    return theirs.revision > held.revision && !store.isRefused(theirs);
  }

  /** Offers a snapshot with a checked hash, and pushes it if it is taken. */
  offer<K extends SnapshotKind>(
    snapshot: Snapshot<K>,
    { source, delta }: {
      readonly source: SnapshotSource;
      readonly delta?: Delta;
    },
  ): OfferVerdict {
    const store = this.store(snapshot.kind);
    const previous = store.held;
    const wasRefused = store.isRefused(snapshot);
    const verdict = store.offer(snapshot, { delta });
    const { kind, revision, hash } = snapshot;
    if (verdict === "taken") {
      this.event({ event: "version_taken", kind, revision, hash, source });
      this.runInBackground(this.#push(kind, previous, source));
      this.#options.onTaken();
    }
    if (verdict === "refused" && !wasRefused) {
      const { reason } = store.refused.at(-1)!;
      this.event({ event: "version_refused", kind, revision, hash, reason });
    }
    if (verdict === "conflict") this.#reportConflict(kind, snapshot);
    return verdict;
  }

  /**
   * Handles a push. A newer version whose delta is missing or does not apply is fetched in the background if
   * the sender is in the VM list, and refused otherwise.
   */
  handlePush(push: Push): PushVerdict {
    this.#counts.pushesReceived += 1;
    const { kind, target, sender } = push;
    if (!this.isBehind(kind, target)) {
      return this.store(kind).isRefused(target) ? "refused" : "have";
    }
    const applied = push.delta && this.#apply(kind, [push.delta]);
    if (applied?.isOk) {
      const verdict = this.offer(applied.value, {
        source: sender.vmId,
        delta: push.delta,
      });
      return verdict === "taken" || verdict === "refused" ? verdict : "have";
    }
    const peer = this.#options.membership.peer(sender.vmId);
    if (peer === undefined) return "refused";
    this.runInBackground(this.catchUp(kind, peer, target));
    return "fetching";
  }

  /**
   * Returns what a peer lacks: the deltas from its version to the held one if the store keeps them all,
   * otherwise the full snapshot.
   */
  handleFetch({ kind, have }: FetchRequest): FetchResponse {
    const store = this.store(kind);
    const held = store.held;
    if (held === undefined || (have && have.revision >= held.revision)) {
      return { type: "nothing_newer" };
    }
    const deltas = have && store.deltasSince(have);
    return deltas === undefined || deltas.length === 0
      ? { type: "snapshot", snapshot: held as Snapshot<"lists"> }
      : { type: "deltas", deltas };
  }

  /**
   * Fetches newer versions from a peer, unless another peer delivers the version first or too many fetches
   * of the kind are waiting or running.
   */
  async catchUp(
    kind: SnapshotKind,
    peer: Peer,
    theirs: SnapshotId,
  ): Promise<void> {
    if (this.#waitingFetches[kind] >= MAX_CONCURRENT_FETCHES) return;
    const running = this.#fetches[kind];
    this.#waitingFetches[kind] += 1;
    if (running.size > 0) {
      await Promise.race([
        ...running,
        this.#options.clock.sleep(FETCH_WAIT_MS),
      ]);
    }
    this.#waitingFetches[kind] -= 1;
    const unneeded = this.#closed || running.size >= MAX_CONCURRENT_FETCHES ||
      !this.isBehind(kind, theirs);
    if (unneeded) return;
    const fetch = this.#fetch(kind, peer);
    running.add(fetch);
    const succeeded = await fetch;
    running.delete(fetch);
    this.#counts[succeeded ? "fetchesDone" : "fetchesFailed"] += 1;
  }

  /**
   * Calls a peer and records in the membership that it answered, or that it timed out or was unreachable.
   * Other errors, such as a refusal by the peer, are not recorded.
   */
  async call(
    peer: Peer,
    method: RpcMethod,
    params: unknown,
  ): Promise<Result<unknown, string>> {
    const { rpc, membership } = this.#options;
    const answer = await rpc.call(peer, { method, params });
    if (answer.isOk) {
      if (membership.recordSuccess(peer.id)) {
        this.event({ event: "peer_back", peer_vm_id: peer.id });
      }
      return Result.ok(answer.value);
    }
    const { kind } = answer.error;
    const unanswered = kind === "timeout" || kind === "unreachable";
    if (
      unanswered && !this.#closed && membership.recordFailure(peer.id)
    ) {
      const reason = `${method}: ${formatRpcError(answer.error)}`;
      this.event({ event: "peer_suspected", peer_vm_id: peer.id, reason });
    }
    return Result.err(kind);
  }

  /** Runs a task that only `close()` awaits. */
  runInBackground(task: Promise<unknown>): void {
    this.#background.add(task);
    void task.finally(() => this.#background.delete(task));
  }

  event(record: LogRecord): void {
    this.#options.onEvent(record);
  }

  async #push(
    kind: SnapshotKind,
    previous: SnapshotId | undefined,
    source: SnapshotSource,
  ): Promise<void> {
    const { membership, tuning, isWatching } = this.#options;
    const held = this.store(kind).held;
    if (held === undefined) return;
    const delta = previous && this.store(kind).deltasSince(previous)?.at(-1);
    const small = delta !== undefined &&
      JSON.stringify(delta).length <= tuning.maxPushedDeltaBytes;
    const message = encodePush({
      sender: this.sender,
      kind,
      target: { revision: held.revision, hash: held.hash },
      delta: small ? delta : undefined,
    });
    const targets = [
      ...membership.pickInZone(tuning.fanOut),
      ...(isWatching() ? membership.pickInOtherZones(tuning.zoneLinks) : []),
    ].filter(({ id }) => id !== source);
    await Promise.all(targets.map(async (peer) => {
      const answer = await this.#pushTo(peer, message);
      if (answer !== "timeout") return;
      // The connection may have died silently; the timeout closed it, so the next call opens a new one.
      await this.#pushTo(peer, message);
    }));
  }

  async #pushTo(peer: Peer, message: unknown): Promise<"sent" | string> {
    const answer = await this.call(peer, "versions.push", message);
    this.#counts[answer.isOk ? "pushesSent" : "pushesFailed"] += 1;
    return answer.isOk ? "sent" : answer.error;
  }

  /** Fetches deltas, or the full snapshot if they do not apply; returns whether a newer version was taken. */
  async #fetch(kind: SnapshotKind, peer: Peer): Promise<boolean> {
    for (const have of [this.#held(kind), undefined]) {
      const request = encodeFetchRequest({ sender: this.sender, kind, have });
      const answer = await this.call(peer, "versions.fetch", request);
      const response = answer.isOk
        ? parseFetchResponse(answer.value)
        : undefined;
      if (response === undefined) {
        const reason = answer.isOk ? "malformed" : answer.error;
        this.event({
          event: "fetch_failed",
          kind,
          peer_vm_id: peer.id,
          reason,
        });
        return false;
      }
      if (response.type === "nothing_newer") return false;
      const snapshot = this.#snapshotFrom(kind, response, peer);
      if (snapshot !== undefined) {
        return this.offer(snapshot, { source: peer.id }) === "taken";
      }
      if (response.type === "snapshot") return false;
    }
    return false;
  }

  #snapshotFrom<K extends SnapshotKind>(
    kind: K,
    response: Exclude<FetchResponse, { readonly type: "nothing_newer" }>,
    peer: Peer,
  ): Snapshot<K> | undefined {
    if (response.type === "deltas") {
      const applied = this.#apply(kind, response.deltas);
      return applied.isOk ? applied.value : undefined;
    }
    const { snapshot } = response;
    const isValid = snapshot.kind === kind &&
      contentHash(snapshot.texts) === snapshot.hash;
    if (isValid) return snapshot as unknown as Snapshot<K>;
    this.#counts.snapshotMismatches += 1;
    const { revision } = snapshot;
    this.event({
      event: "snapshot_mismatch",
      kind,
      revision,
      peer_vm_id: peer.id,
    });
    return undefined;
  }

  /** Applies a chain of deltas to the held snapshot; fails at the first delta that does not apply. */
  #apply<K extends SnapshotKind>(
    kind: K,
    deltas: readonly Delta[],
  ): Result<Snapshot<K>, string> {
    let snapshot = this.store(kind).held;
    for (const delta of deltas) {
      if (snapshot === undefined || delta.kind !== kind) {
        return Result.err("base_differs");
      }
      const next = applyDelta(snapshot, delta);
      if (next.isErr) {
        if (next.error !== "base_differs") {
          this.#counts.deltaMismatches += 1;
          const { revision } = delta.target;
          const reason = next.error;
          this.event({ event: "delta_mismatch", kind, revision, reason });
        }
        return Result.err(next.error);
      }
      snapshot = next.value;
    }
    return snapshot === undefined
      ? Result.err("base_differs")
      : Result.ok(snapshot);
  }

  #held(kind: SnapshotKind): SnapshotId | undefined {
    const held = this.store(kind).held;
    return held && { revision: held.revision, hash: held.hash };
  }

  /** Counts every conflict. Logs it unless the last conflict logged for the kind was with the same version. */
  #reportConflict(kind: SnapshotKind, theirs: SnapshotId): void {
    this.#counts.conflicts += 1;
    const key = `${theirs.revision} ${theirs.hash}`;
    if (this.#reportedConflicts.get(kind) === key) return;
    this.#reportedConflicts.set(kind, key);
    const { revision, hash } = theirs;
    this.event({
      event: "version_conflict",
      kind,
      revision,
      offered_hash: hash,
      held_hash: this.store(kind).held?.hash ?? "",
    });
  }
}
