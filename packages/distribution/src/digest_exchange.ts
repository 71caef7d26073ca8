import type {
  Clock,
  LeavingNotice,
  Membership,
  Peer,
  Random,
} from "@tanagercove/membership";
import type { SnapshotId, SnapshotKind } from "@tanagercove/types";
import type { Confirmations } from "./confirmations.ts";
import { DigestPartners } from "./digest_partners.ts";
import { type Digest, encodeDigest, parseDigest } from "./messages.ts";
import type { DistributionTuning } from "./options.ts";
import type { Replication } from "./replication.ts";

/** Options of `DigestExchange`. */
export interface DigestExchangeOptions {
  readonly membership: Membership;
  readonly replication: Replication;
  readonly confirmations: Confirmations;
  readonly clock: Clock;
  readonly random: Random;
  readonly tuning: DistributionTuning;
  readonly onMalformed: () => void;
}

const KINDS: readonly SnapshotKind[] = ["lists", "vms"];

/** Mean delay of the extra exchange after a new version, as a share of the digest interval. */
const FOLLOW_UP_DELAY_SHARE = 0.1;
const STALE_REMOTE_DIGEST_EVERY = 2;

/** Exchanges digests with other daemons and fetches newer versions from them. */
export class DigestExchange {
  readonly #options: DigestExchangeOptions;
  readonly #partners: DigestPartners;

  constructor(options: DigestExchangeOptions) {
    this.#options = options;
    this.#partners = new DigestPartners(options);
  }

  /** Starts an exchange in each interval; a silent peer does not delay the next exchange. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, random, confirmations, replication } = this.#options;
    const { digestIntervalMs, remoteDigestEvery, staleAfterMs } =
      this.#options.tuning;
    if (digestIntervalMs === 0) return;
    for (let n = 1; !signal.aborted; n += 1) {
      const jitter = 0.75 + random.next() / 2;
      await clock.sleep(digestIntervalMs * jitter, signal);
      if (signal.aborted) return;
      // A zone that is cut off from the platform gets changes only from other zones.
      const isStale = confirmations.ageMs > staleAfterMs;
      const remoteEvery = isStale
        ? Math.min(STALE_REMOTE_DIGEST_EVERY, remoteDigestEvery)
        : remoteDigestEvery;
      const scope = n % remoteEvery === 0 ? "otherZones" : "zone";
      const peer = this.#partners.next(scope);
      if (peer !== undefined) replication.runInBackground(this.#syncWith(peer));
    }
  }

  /** Starts an extra exchange soon after a version was taken, in case its pushes are lost. */
  startFollowUp(signal: AbortSignal): void {
    const { replication } = this.#options;
    if (this.#options.tuning.digestIntervalMs === 0) return;
    replication.runInBackground(this.#followUp(signal));
  }

  /** Exchanges digests and fetches newer versions; returns false if no valid digest was received. */
  async synchronize(peer: Peer): Promise<boolean> {
    const { replication } = this.#options;
    const digest = await this.exchange(peer);
    if (digest === undefined) return false;
    await Promise.all(KINDS.map(async (kind) => {
      const theirs = digest[kind];
      if (theirs === undefined) return;
      if (!replication.isBehind(kind, theirs)) return;
      await replication.catchUp(kind, peer, theirs);
    }));
    return true;
  }

  /** Exchanges digests; returns undefined if no valid digest was received. */
  async exchange(peer: Peer): Promise<Digest | undefined> {
    const { clock, replication, onMalformed } = this.#options;
    const sentAtMs = clock.nowMs();
    const message = encodeDigest(this.#digest());
    const answer = await replication.call(peer, "digest.exchange", message);
    if (answer.isErr) return undefined;
    const digest = parseDigest(answer.value);
    if (digest === undefined) onMalformed();
    else this.#applyDigest(digest, Math.ceil(clock.nowMs() - sentAtMs));
    return digest;
  }

  /** Processes the digest of a calling peer and returns this daemon's digest. */
  handleDigest(theirs: Digest): Digest {
    this.#applyDigest(theirs, 0);
    this.#fetchFromSender(theirs);
    return this.#digest();
  }

  addNotice(notice: LeavingNotice): void {
    const { membership, replication } = this.#options;
    if (!membership.addNotice(notice)) return;
    replication.event({
      event: "vm_leaving",
      leaving_vm_id: notice.vmId,
      source: "notice",
    });
  }

  async #followUp(signal: AbortSignal): Promise<void> {
    const { clock, random, tuning } = this.#options;
    // Pushes that arrive during this delay make fetches unnecessary.
    const waitMs = tuning.digestIntervalMs * FOLLOW_UP_DELAY_SHARE;
    await clock.sleep(waitMs * (0.5 + random.next()), signal);
    if (signal.aborted) return;
    const peer = this.#partners.next("zone");
    if (peer !== undefined) await this.#syncWith(peer);
  }

  /** Synchronizes with a peer; if that fails, the peer is no longer a digest partner. */
  async #syncWith(peer: Peer): Promise<void> {
    if (!await this.synchronize(peer)) this.#partners.drop(peer);
  }

  #digest(): Digest {
    const { membership, replication, confirmations } = this.#options;
    return {
      sender: replication.sender,
      lists: this.#held("lists"),
      vms: this.#held("vms"),
      confirmationAgeMs: confirmations.knownAgeMs,
      reader: confirmations.reader,
      notices: membership.notices(),
    };
  }

  /**
   * Records everything in a digest except the versions. `transitMs`, the time that the digest may have been on its
   * way, is added to the ages of its confirmations.
   */
  #applyDigest(digest: Digest, transitMs: number): void {
    const { membership, confirmations } = this.#options;
    const { sender, reader, confirmationAgeMs } = digest;
    membership.recordMessageFrom(sender.vmId, sender.processId);
    for (const notice of digest.notices) this.addNotice(notice);
    if (confirmationAgeMs !== undefined) {
      confirmations.recordAge(confirmationAgeMs + transitMs);
    }
    const isReaderOfOwnZone =
      membership.peer(sender.vmId)?.zone === membership.zone &&
      reader !== undefined &&
      membership.peer(reader.vmId)?.zone === membership.zone;
    if (isReaderOfOwnZone) {
      const { vmId, ageMs } = reader;
      confirmations.recordReader({ vmId, ageMs: ageMs + transitMs });
    }
  }

  /** Fetches newer versions from the sender if the VM list contains it. */
  #fetchFromSender(digest: Digest): void {
    const { membership, replication } = this.#options;
    const peer = membership.peer(digest.sender.vmId);
    if (peer === undefined) return;
    for (const kind of KINDS) {
      const theirs = digest[kind];
      if (theirs === undefined) continue;
      if (!replication.isBehind(kind, theirs)) continue;
      replication.runInBackground(replication.catchUp(kind, peer, theirs));
    }
  }

  #held(kind: SnapshotKind): SnapshotId | undefined {
    const { held } = this.#options.replication.store(kind);
    return held && { revision: held.revision, hash: held.hash };
  }
}
