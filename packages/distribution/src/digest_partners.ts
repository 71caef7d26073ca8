import type { Clock, Membership, Peer, Random } from "@tanagercove/membership";

/** Whether a partner is in the own zone or in another one. */
export type PartnerPlace = "zone" | "elsewhere";

/** Options of `DigestPartners`. */
export interface DigestPartnersOptions {
  readonly membership: Membership;
  readonly clock: Clock;
  readonly random: Random;
}

interface Partner {
  readonly id: string;
  readonly untilMs: number;
}

/**
 * A graph in which every daemon chooses three others at random is connected with near certainty, while
 * more partners would each be called so seldom that their connections go idle.
 */
const PARTNERS: Readonly<Record<PartnerPlace, number>> = {
  zone: 3,
  elsewhere: 2,
};

/** Mean time for which a partner is kept. */
const KEEP_MS = 60_000;

/** Chooses whom to exchange digests with, and keeps partners so that their connections are used again. */
export class DigestPartners {
  readonly #options: DigestPartnersOptions;
  /** The partner that was called longest ago first. */
  readonly #kept: Record<PartnerPlace, readonly Partner[]> = {
    zone: [],
    elsewhere: [],
  };

  constructor(options: DigestPartnersOptions) {
    this.#options = options;
  }

  /** The peer for the next exchange: a new partner if one is missing, otherwise the kept ones in turn. */
  next(place: PartnerPlace): Peer | undefined {
    const { membership } = this.#options;
    const kept = this.#kept[place].filter((partner) => this.#isUsable(partner));
    const next = kept.length < PARTNERS[place]
      ? this.#choose(place, kept) ?? kept[0]
      : kept[0];
    if (next === undefined) {
      this.#kept[place] = [];
      return this.#pick(place, 1)[0] ?? membership.pickInAnyZone(1)[0];
    }
    this.#kept[place] = [...kept.filter(({ id }) => id !== next.id), next];
    return membership.peer(next.id);
  }

  /** Gives a partner up that did not answer. */
  drop(peer: Peer): void {
    for (const place of ["zone", "elsewhere"] as const) {
      this.#kept[place] = this.#kept[place].filter(({ id }) => id !== peer.id);
    }
  }

  #choose(place: PartnerPlace, kept: readonly Partner[]): Partner | undefined {
    const { membership, clock, random } = this.#options;
    const peer = this.#pick(place, PARTNERS[place] + 1).find(({ id }) =>
      membership.peer(id) !== undefined && !membership.isLeaving(id) &&
      !membership.isSuspected(id) && kept.every((partner) => partner.id !== id)
    );
    if (peer === undefined) return undefined;
    // Daemons that start together would otherwise all change their partners together.
    const keepMs = KEEP_MS * (0.5 + random.next());
    return { id: peer.id, untilMs: clock.nowMs() + keepMs };
  }

  #isUsable({ id, untilMs }: Partner): boolean {
    const { membership, clock } = this.#options;
    return clock.nowMs() < untilMs && membership.peer(id) !== undefined &&
      !membership.isSuspected(id) && !membership.isLeaving(id);
  }

  #pick(place: PartnerPlace, count: number): readonly Peer[] {
    const { membership } = this.#options;
    return place === "zone"
      ? membership.pickInZone(count)
      : membership.pickInOtherZones(count);
  }
}
