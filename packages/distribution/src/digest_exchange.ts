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

/** Mean share of an interval after which an exchange follows a version taken. */
const SPREAD_CHECK_SHARE = 0.1;
const STALE_REMOTE_DIGEST_EVERY = 2;

/** Exchanges digests with other daemons and fetches what is missing. */
export class DigestExchange {
  readonly #options: DigestExchangeOptions;
  readonly #partners: DigestPartners;

  constructor(options: DigestExchangeOptions) {
    this.#options = options;
    this.#partners = new DigestPartners(options);
  }

  /** Starts an exchange in each interval; a silent peer does not delay the next one. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, random, confirmations, replication } = this.#options;
    const { digestIntervalMs, remoteDigestEvery, staleAfterMs } =
      this.#options.tuning;
    if (digestIntervalMs === 0) return;
    for (let n = 1; !signal.aborted; n += 1) {
      const jitter = 0.75 + random.next() / 2;
      await clock.sleep(digestIntervalMs * jitter, signal);
      if (signal.aborted) return;
      // A zone cut off from the platform learns of changes from other zones alone.
      const isStale = confirmations.ageMs > staleAfterMs;
      const remoteEvery = isStale
        ? Math.min(STALE_REMOTE_DIGEST_EVERY, remoteDigestEvery)
        : remoteDigestEvery;
      const place = n % remoteEvery === 0 ? "elsewhere" : "zone";
      const peer = this.#partners.next(place);
      if (peer !== undefined) replication.inBackground(this.#meet(peer));
    }
  }

  /** Starts an exchange soon after a version was taken, in case its pushes are lost. */
  confirmSpread(signal: AbortSignal): void {
    const { replication } = this.#options;
    if (this.#options.tuning.digestIntervalMs === 0) return;
    replication.inBackground(this.#confirmSpread(signal));
  }

  /** Exchanges digests and fetches what is missing; false where the peer did not answer. */
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

  /** Exchanges digests; undefined where the peer did not answer. */
  async exchange(peer: Peer): Promise<Digest | undefined> {
    const { clock, replication, onMalformed } = this.#options;
    const sentAtMs = clock.nowMs();
    const message = encodeDigest(this.#digest());
    const answer = await replication.call(peer, "digest.exchange", message);
    if (answer.isErr) return undefined;
    const digest = parseDigest(answer.value);
    if (digest === undefined) onMalformed();
    else this.#absorb(digest, Math.ceil(clock.nowMs() - sentAtMs));
    return digest;
  }

  /** Takes the digest of a peer that called, and gives the own one. */
  answer(theirs: Digest): Digest {
    this.#absorb(theirs, 0);
    this.#fetchFromSender(theirs);
    return this.#digest();
  }

  takeNotice(notice: LeavingNotice): void {
    const { membership, replication } = this.#options;
    if (!membership.addNotice(notice)) return;
    replication.event({
      event: "vm_leaving",
      leaving_vm_id: notice.vmId,
      source: "notice",
    });
  }

  async #confirmSpread(signal: AbortSignal): Promise<void> {
    const { clock, random, tuning } = this.#options;
    // Pushes that arrive meanwhile spare fetches.
    const waitMs = tuning.digestIntervalMs * SPREAD_CHECK_SHARE;
    await clock.sleep(waitMs * (0.5 + random.next()), signal);
    if (signal.aborted) return;
    const peer = this.#partners.next("zone");
    if (peer !== undefined) await this.#meet(peer);
  }

  async #meet(peer: Peer): Promise<void> {
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

  /** Takes what a digest tells beside the versions. */
  #absorb(digest: Digest, transitMs: number): void {
    const { membership, confirmations } = this.#options;
    const { sender, reader, confirmationAgeMs } = digest;
    membership.recordMessageFrom(sender.vmId, sender.processId);
    for (const notice of digest.notices) this.takeNotice(notice);
    if (confirmationAgeMs !== undefined) {
      confirmations.takeAge(confirmationAgeMs + transitMs);
    }
    const isOfZone = membership.peer(sender.vmId)?.zone === membership.zone &&
      reader !== undefined &&
      membership.peer(reader.vmId)?.zone === membership.zone;
    if (isOfZone) {
      const { vmId, ageMs } = reader;
      confirmations.takeReader({ vmId, ageMs: ageMs + transitMs });
    }
  }

  /** Only a sender that the VM list names is called back. */
  #fetchFromSender(digest: Digest): void {
    const { membership, replication } = this.#options;
    const peer = membership.peer(digest.sender.vmId);
    if (peer === undefined) return;
    for (const kind of KINDS) {
      const theirs = digest[kind];
      if (theirs === undefined) continue;
      if (!replication.isBehind(kind, theirs)) continue;
      replication.inBackground(replication.catchUp(kind, peer, theirs));
    }
  }

  #held(kind: SnapshotKind): SnapshotId | undefined {
    const { held } = this.#options.replication.store(kind);
    return held && { revision: held.revision, hash: held.hash };
  }
}
