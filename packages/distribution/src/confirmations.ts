import type { Clock, Membership } from "@tanagercove/membership";
import type { ConfirmedReader } from "./messages.ts";

/** Options of `Confirmations`. */
export interface ConfirmationsOptions {
  readonly clock: Clock;
  readonly membership: Membership;
  /** Age from which on a reader of the zone counts as lost. */
  readonly staleAfterMs: number;
}

/** How long ago the platform last confirmed the versions in force, here or anywhere. */
export class Confirmations {
  readonly #options: ConfirmationsOptions;
  readonly #startedAtMs: number;
  #youngestAtMs: number | undefined;
  #reader: { readonly vmId: string; readonly atMs: number } | undefined;

  constructor(options: ConfirmationsOptions) {
    this.#options = options;
    this.#startedAtMs = options.clock.nowMs();
  }

  /** Age of the youngest confirmation known, or undefined while there is none. */
  get knownAgeMs(): number | undefined {
    if (this.#youngestAtMs === undefined) return undefined;
    return Math.round(this.#options.clock.nowMs() - this.#youngestAtMs);
  }

  /** Age of the youngest confirmation, or the time since the start while there is none. */
  get ageMs(): number {
    return this.#options.clock.nowMs() -
      (this.#youngestAtMs ?? this.#startedAtMs);
  }

  /** The lowest-ranked daemon of the zone that the platform answered lately. */
  get reader(): ConfirmedReader | undefined {
    const reader = this.#freshReader();
    if (reader === undefined) return undefined;
    const ageMs = Math.round(this.#options.clock.nowMs() - reader.atMs);
    return { vmId: reader.vmId, ageMs };
  }

  /** Tells whether a daemon of a lower rank in the zone has a fresh confirmation. */
  hasReaderBelow(rank: number): boolean {
    const reader = this.#freshReader();
    return reader !== undefined &&
      this.#options.membership.rankOf(reader.vmId) < rank;
  }

  /** Notes that the platform answered this daemon. */
  confirm(): void {
    const { membership } = this.#options;
    this.takeAge(0);
    this.takeReader({ vmId: membership.vmId, ageMs: 0 });
  }

  /** Takes the age that a peer tells. */
  takeAge(ageMs: number): void {
    const atMs = this.#options.clock.nowMs() - ageMs;
    this.#youngestAtMs = Math.max(this.#youngestAtMs ?? atMs, atMs);
  }

  /** Takes what a peer of the own zone tells of the zone's readers. */
  takeReader({ vmId, ageMs }: ConfirmedReader): void {
    const { membership, clock } = this.#options;
    const atMs = clock.nowMs() - ageMs;
    const known = this.#freshReader();
    const rank = membership.rankOf(vmId);
    const knownRank = known && membership.rankOf(known.vmId);
    const replaces = knownRank === undefined || rank < knownRank ||
      (rank === knownRank && atMs > known!.atMs);
    if (replaces && ageMs < this.#options.staleAfterMs) {
      this.#reader = { vmId, atMs };
    }
  }

  #freshReader() {
    const { clock, staleAfterMs } = this.#options;
    const reader = this.#reader;
    if (reader === undefined) return undefined;
    return clock.nowMs() - reader.atMs < staleAfterMs ? reader : undefined;
  }
}
