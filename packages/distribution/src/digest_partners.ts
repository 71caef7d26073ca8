import type { Clock, Membership, Peer, Random } from "@tanagercove/membership";

/** Whether a partner is in the daemon's own zone or in another zone. */
export type PartnerScope = "zone" | "otherZones";

/** Options of `DigestPartners`. */
export interface DigestPartnersOptions {
  readonly membership: Membership;
  readonly clock: Clock;
  readonly random: Random;
}

interface Partner {
  readonly id: string;
  readonly expiresAtMs: number;
}

/**
 * If every daemon of a zone chooses three others at random, exchanges almost certainly connect all of them,
 * directly or through others. With more partners, each would be called so rarely that its connection would be
 * closed as idle between the calls.
 */
const PARTNER_COUNTS: Readonly<Record<PartnerScope, number>> = {
  zone: 3,
  otherZones: 2,
};

const MEAN_PARTNERSHIP_MS = 60_000;

/** Chooses the peers for digest exchanges and keeps them for a while, so that connections are reused. */
export class DigestPartners {
  readonly #options: DigestPartnersOptions;
  /** The least recently called partner first. */
  readonly #partners: Record<PartnerScope, readonly Partner[]> = {
    zone: [],
    otherZones: [],
  };

  constructor(options: DigestPartnersOptions) {
    this.#options = options;
  }

  /**
   * Returns the peer for the next exchange: a new partner if there are too few, otherwise the partners in turn. If
   * there is no partner and none can be chosen, returns a random peer of the scope, even a suspected or leaving one.
   * If the scope has no peers, returns a random peer of any zone.
   */
  next(scope: PartnerScope): Peer | undefined {
    const { membership } = this.#options;
    const kept = this.#partners[scope].filter((partner) =>
      this.#isUsable(partner)
    );
    const next = kept.length < PARTNER_COUNTS[scope]
      ? this.#choose(scope, kept) ?? kept[0]
      : kept[0];
    if (next === undefined) {
      this.#partners[scope] = [];
      return this.#pick(scope, 1)[0] ?? membership.pickInAnyZone(1)[0];
    }
    this.#partners[scope] = [...kept.filter(({ id }) => id !== next.id), next];
    return membership.peer(next.id);
  }

  /** Removes a partner with which an exchange failed. */
  drop(peer: Peer): void {
    for (const scope of ["zone", "otherZones"] as const) {
      this.#partners[scope] = this.#partners[scope].filter(({ id }) =>
        id !== peer.id
      );
    }
  }

  #choose(scope: PartnerScope, kept: readonly Partner[]): Partner | undefined {
    const { membership, clock, random } = this.#options;
    const peer = this.#pick(scope, PARTNER_COUNTS[scope] + 1).find(({ id }) =>
      membership.peer(id) !== undefined && !membership.isLeaving(id) &&
      !membership.isSuspected(id) && kept.every((partner) => partner.id !== id)
    );
    if (peer === undefined) return undefined;
    // Without this jitter, daemons that start together would all change partners at the same time.
    const keepMs = MEAN_PARTNERSHIP_MS * (0.5 + random.next());
    return { id: peer.id, expiresAtMs: clock.nowMs() + keepMs };
  }

  #isUsable({ id, expiresAtMs }: Partner): boolean {
    const { membership, clock } = this.#options;
    return clock.nowMs() < expiresAtMs && membership.peer(id) !== undefined &&
      !membership.isSuspected(id) && !membership.isLeaving(id);
  }

  #pick(scope: PartnerScope, count: number): readonly Peer[] {
    const { membership } = this.#options;
    return scope === "zone"
      ? membership.pickInZone(count)
      : membership.pickInOtherZones(count);
  }
}
