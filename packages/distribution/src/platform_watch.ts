import { Result } from "true-myth";
import { formatPlatformError, type PlatformError } from "@tanagercove/errors";
import type { Clock, Membership, Random } from "@tanagercove/membership";
import type { PlatformIndex, PlatformPort } from "@tanagercove/platform";
import type { PlatformKey, Snapshot, SnapshotKind } from "@tanagercove/types";
import { makeSnapshot } from "@tanagercove/versions";
import type { Confirmations } from "./confirmations.ts";
import type { DistributionTuning } from "./options.ts";
import type { Replication } from "./replication.ts";

/**
 * Why this daemon calls the platform, if it does: it is a reader by its rank, it replaces readers that count as
 * lost, or it knows of no confirmation from the last 3 * `staleAfterMs` (`own_reading`).
 */
export type WatchRole = "none" | "reader" | "replacement" | "own_reading";

/** Options of `PlatformWatch`. */
export interface PlatformWatchOptions {
  readonly platform: PlatformPort;
  readonly replication: Replication;
  readonly membership: Membership;
  readonly confirmations: Confirmations;
  readonly clock: Clock;
  readonly random: Random;
  readonly tuning: DistributionTuning;
  /** Updates the confirmations from the zone's readers and from the daemons that directly precede this one in rank. */
  readonly queryReaders: () => Promise<void>;
}

/** Counters shown to operators. */
export interface PlatformCounts {
  readonly calls: number;
  readonly failures: number;
  readonly staleIndexes: number;
  readonly crossedEdits: number;
}

/** `crossed`: an edit changed a value after the index was read. */
type ReadError = PlatformError | { readonly kind: "crossed" };
type RoundResult = "confirmed" | "stale" | "crossed" | "timeout" | "failed";

const KINDS: readonly SnapshotKind[] = ["lists", "vms"];
const REPLACEMENT_STEP_MS = 500;
/** Without this limit, a daemon with a large rank could wait longer than the 3 s in which a change must be in force. */
const MAX_READ_WAIT_MS = 500;
const RETRY_MIN_MS = 250;
const RETRY_MAX_MS = 1_000;
const CROSSED_RETRY_MS = 20;
/** Limits the calls to a platform that answers long polls at once although nothing has changed. */
const MIN_WATCH_INTERVAL_MS = 100;
const ROLE_CHECK_MS = 100;
/**
 * Longest time until a daemon without a role checks its role again, so that a VM list that makes it a reader
 * takes effect soon.
 */
const MAX_ROLE_CHECK_MS = 500;
const MIN_OWN_READING_INTERVAL_MS = 1_000;

/** Watches the platform while the daemon's rank or the age of the confirmations requires it. */
export class PlatformWatch {
  readonly #options: PlatformWatchOptions;
  readonly #stop = new AbortController();
  readonly #counts = {
    calls: 0,
    failures: 0,
    staleIndexes: 0,
    crossedEdits: 0,
  };
  #task: Promise<void> | undefined;
  #role: WatchRole = "none";
  #afterRevision = 0;
  #consecutiveCrossedReads = 0;
  #outageStartedAtMs: number | undefined;
  #stale = false;
  /** Revision last read from the platform, valid or not. */
  readonly #readRevision: Record<SnapshotKind, number> = { lists: -1, vms: -1 };

  constructor(options: PlatformWatchOptions) {
    this.#options = options;
  }

  get role(): WatchRole {
    return this.#role;
  }

  get isWatching(): boolean {
    return this.#role === "reader" || this.#role === "replacement";
  }

  get counts(): PlatformCounts {
    return { ...this.#counts };
  }

  start(): void {
    this.#task = this.#run();
  }

  async close(): Promise<void> {
    this.#stop.abort();
    await this.#task;
  }

  async #run(): Promise<void> {
    const { clock } = this.#options;
    const signal = this.#stop.signal;
    while (!signal.aborted) {
      const role = await this.#nextRole();
      this.#setRole(role);
      if (role === "none") {
        await clock.sleep(this.#nextCheckMs(), signal);
        continue;
      }
      const startedMs = clock.nowMs();
      const callsBefore = this.#counts.calls;
      const result = await this.#runRound(role);
      if (signal.aborted) return;
      const waitMs = this.#delayAfter(result, {
        role,
        tookMs: clock.nowMs() - startedMs,
        calls: this.#counts.calls - callsBefore,
      });
      if (waitMs > 0) await clock.sleep(waitMs, signal);
    }
  }

  /** Determines the role from the rank and the confirmations. */
  async #nextRole(): Promise<WatchRole> {
    const { membership, confirmations, clock, random } = this.#options;
    if (membership.isReader) return "reader";
    const rank = membership.ownRank;
    if (this.#role === "replacement" && !confirmations.hasReaderBelow(rank)) {
      return "replacement";
    }
    if (this.#dueRole(rank) === "none") return "none";
    // In a large zone, digests can be too old to contain the readers' newest confirmations.
    if (this.#role === "none") await this.#options.queryReaders();
    const due = this.#dueRole(rank);
    if (due === "own_reading" && this.#role !== "own_reading") {
      const jitterMs = random.next() * this.#ownReadingIntervalMs();
      await clock.sleep(jitterMs, this.#stop.signal);
      return this.#dueRole(rank);
    }
    return due;
  }

  #dueRole(rank: number): WatchRole {
    const { ageMs } = this.#options.confirmations;
    if (ageMs > this.#replacementAgeMs(rank)) return "replacement";
    return ageMs > this.#ownReadingAgeMs ? "own_reading" : "none";
  }

  /** A daemon of this rank replaces a reader when the newest confirmation that it knows of is older than this. */
  #replacementAgeMs(rank: number): number {
    const { membership, tuning } = this.#options;
    const steps = rank - membership.readersPerZone;
    return tuning.staleAfterMs + steps * REPLACEMENT_STEP_MS;
  }

  get #ownReadingAgeMs(): number {
    return 3 * this.#options.tuning.staleAfterMs;
  }

  /**
   * Time until a role can be due, but at least `ROLE_CHECK_MS` and at most `MAX_ROLE_CHECK_MS`. Checking every
   * 100 ms instead nearly doubles an idle daemon's wake-ups.
   */
  #nextCheckMs(): number {
    const { membership, confirmations } = this.#options;
    const dueAgeMs = Math.min(
      this.#replacementAgeMs(membership.ownRank),
      this.#ownReadingAgeMs,
    );
    const dueInMs = dueAgeMs - confirmations.ageMs + 1;
    return Math.min(MAX_ROLE_CHECK_MS, Math.max(ROLE_CHECK_MS, dueInMs));
  }

  #setRole(role: WatchRole): void {
    const { replication, membership } = this.#options;
    const wasReading = this.#role !== "none";
    const isReading = role !== "none";
    this.#role = role;
    if (isReading === wasReading) return;
    const event = isReading ? "reading_started" : "reading_stopped";
    replication.event({ event, rank: membership.ownRank });
  }

  async #runRound(role: WatchRole): Promise<RoundResult> {
    const { platform, confirmations, tuning } = this.#options;
    this.#counts.calls += 1;
    const index = await platform.watchIndex({
      afterRevision: this.#afterRevision,
      waitMs: role === "own_reading" ? 0 : tuning.watchWaitMs,
      signal: this.#stop.signal,
    });
    if (this.#stop.signal.aborted) return "failed";
    if (index.isErr) return this.#recordFailure(index.error);
    this.#endOutage();
    const stale = this.#recordStale(index.value);
    // A newer version of one kind is read even if the index is stale for the other kind.
    const read = await this.#readNewer(index.value);
    if (this.#stop.signal.aborted) return "failed";
    if (read.isErr) return this.#recordFailure(read.error);
    this.#consecutiveCrossedReads = 0;
    this.#afterRevision = index.value.revision;
    if (stale) return "stale";
    confirmations.confirm();
    return "confirmed";
  }

  #recordFailure(error: ReadError): RoundResult {
    const { replication } = this.#options;
    if (error.kind === "crossed") {
      this.#counts.crossedEdits += 1;
      this.#consecutiveCrossedReads += 1;
      const consecutive = this.#consecutiveCrossedReads;
      replication.event({ event: "edits_crossed", in_a_row: consecutive });
      return "crossed";
    }
    this.#counts.failures += 1;
    const first = this.#outageStartedAtMs === undefined;
    if (first) {
      const reason = formatPlatformError(error);
      replication.event({ event: "platform_lost", reason });
    }
    this.#outageStartedAtMs ??= this.#options.clock.nowMs();
    return error.kind === "timeout" && first ? "timeout" : "failed";
  }

  /** Records and returns whether the index is older than what this daemon holds or knows to exist. */
  #recordStale(index: PlatformIndex): boolean {
    const { replication } = this.#options;
    const older = KINDS.filter((kind) =>
      revisionOf(kind, index) < replication.store(kind).floor
    );
    const stale = older.length > 0;
    if (stale) this.#counts.staleIndexes += 1;
    const changed = stale !== this.#stale;
    this.#stale = stale;
    if (!changed) return stale;
    const revisions = {
      lists_revision: revisionOf("lists", index),
      vms_revision: revisionOf("vms", index),
    };
    replication.event(
      stale
        ? {
          event: "platform_stale",
          ...revisions,
          held_lists_revision: replication.store("lists").floor,
          held_vms_revision: replication.store("vms").floor,
        }
        : { event: "platform_current", ...revisions },
    );
    return stale;
  }

  #endOutage(): void {
    if (this.#outageStartedAtMs === undefined) return;
    const outageMs = Math.round(
      this.#options.clock.nowMs() - this.#outageStartedAtMs,
    );
    this.#outageStartedAtMs = undefined;
    this.#options.replication.event({
      event: "platform_back",
      outage_ms: outageMs,
    });
  }

  /** Time until the next call. */
  #delayAfter(result: RoundResult, round: {
    readonly role: WatchRole;
    readonly tookMs: number;
    readonly calls: number;
  }): number {
    const { random } = this.#options;
    if (result === "confirmed" && round.role !== "own_reading") {
      return Math.max(0, MIN_WATCH_INTERVAL_MS - round.tookMs);
    }
    if (round.role !== "reader") {
      const meanMs = round.calls * this.#ownReadingIntervalMs();
      return meanMs * (0.5 + random.next());
    }
    if (result === "timeout") return 0;
    if (result === "crossed") {
      const backoffMs = CROSSED_RETRY_MS * 2 ** this.#consecutiveCrossedReads;
      return Math.min(backoffMs, RETRY_MAX_MS) * random.next();
    }
    return RETRY_MIN_MS + (RETRY_MAX_MS - RETRY_MIN_MS) * random.next();
  }

  /**
   * Mean time between the calls of a daemon with the role `own_reading`, and of a replacement after a round
   * without a confirmation; at least 1 s. Even if all daemons call at this interval, they use at most half of
   * the platform's rate together.
   */
  #ownReadingIntervalMs(): number {
    const { membership, tuning } = this.#options;
    const sharedMs = 2 * membership.daemonCount * 1_000 /
      tuning.readsPerSecond;
    return Math.max(MIN_OWN_READING_INTERVAL_MS, sharedMs);
  }

  /** Reads the kinds that have a newer version; a failure with one does not prevent reading the other. */
  async #readNewer(index: PlatformIndex): Promise<Result<void, ReadError>> {
    const { clock, membership, tuning } = this.#options;
    if (!KINDS.some((kind) => this.#isNewer(kind, index))) {
      return Result.ok(undefined);
    }
    const position = membership.ownRank +
      membership.zonePosition(index.revision);
    const waitMs = Math.min(
      MAX_READ_WAIT_MS,
      position * tuning.readStaggerMs,
    );
    if (waitMs > 0) await clock.sleep(waitMs, this.#stop.signal);
    // Routes need VMs, so the VM list is read first.
    const vms = await this.#readVms(index);
    const lists = await this.#readLists(index);
    return lists.isErr ? lists : vms;
  }

  #isNewer(kind: SnapshotKind, index: PlatformIndex): boolean {
    const store = this.#options.replication.store(kind);
    const revision = revisionOf(kind, index);
    const known = Math.max(
      store.held?.revision ?? -1,
      this.#readRevision[kind],
    );
    return !this.#stop.signal.aborted && revision > known;
  }

  async #readLists(index: PlatformIndex): Promise<Result<void, ReadError>> {
    if (!this.#isNewer("lists", index)) return Result.ok(undefined);
    const held = this.#options.replication.store("lists").held;
    // A list that has not changed since the held revision need not be read again.
    const unchanged = (key: PlatformKey) =>
      held !== undefined && index.keys[key] <= held.revision;
    const plans = unchanged("plans")
      ? Result.ok<string, ReadError>(held!.texts.plans)
      : await this.#readValue("plans", index);
    if (plans.isErr) return Result.err(plans.error);
    const allowances = unchanged("allowances")
      ? Result.ok<string, ReadError>(held!.texts.allowances)
      : await this.#readValue("allowances", index);
    if (allowances.isErr) return Result.err(allowances.error);
    this.#offer(makeSnapshot({
      kind: "lists",
      revision: revisionOf("lists", index),
      texts: { plans: plans.value, allowances: allowances.value },
    }));
    return Result.ok(undefined);
  }

  async #readVms(index: PlatformIndex): Promise<Result<void, ReadError>> {
    if (!this.#isNewer("vms", index)) return Result.ok(undefined);
    const text = await this.#readValue("vms", index);
    if (text.isErr) return Result.err(text.error);
    this.#offer(makeSnapshot({
      kind: "vms",
      revision: revisionOf("vms", index),
      texts: { vms: text.value },
    }));
    return Result.ok(undefined);
  }

  #offer<K extends SnapshotKind>(snapshot: Snapshot<K>): void {
    this.#options.replication.offer(snapshot, { source: "platform" });
    this.#readRevision[snapshot.kind] = snapshot.revision;
  }

  async #readValue(
    key: PlatformKey,
    index: PlatformIndex,
  ): Promise<Result<string, ReadError>> {
    this.#counts.calls += 1;
    const value = await this.#options.platform.readValue(key);
    if (value.isErr) return Result.err(value.error);
    return value.value.revision === index.keys[key]
      ? Result.ok(value.value.value)
      : Result.err({ kind: "crossed" });
  }
}

/** Returns the revision of a kind's newest version: the highest revision of that kind's values in the index. */
export function revisionOf(kind: SnapshotKind, index: PlatformIndex): number {
  const { plans, allowances, vms } = index.keys;
  return kind === "vms" ? vms : Math.max(plans, allowances);
}
