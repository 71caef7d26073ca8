import type { Clock, Membership } from "@tanagercove/membership";
import type { ConfirmedReader } from "./messages.ts";

/** Options of `Confirmations`. */
export interface ConfirmationsOptions {
  readonly clock: Clock;
  readonly membership: Membership;
  /** Age of a reader's confirmation at which the reader counts as lost. */
  readonly staleAfterMs: number;
}

/** Tracks when the platform last confirmed the versions in force to this or any other daemon. */
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

  /**
   * The daemon of the zone that is known to have a confirmation younger than `staleAfterMs`. If several are known,
   * the one with the smallest rank.
   */
  get reader(): ConfirmedReader | undefined {
    const reader = this.#freshReader();
    if (reader === undefined) return undefined;
    const ageMs = Math.round(this.#options.clock.nowMs() - reader.atMs);
    return { vmId: reader.vmId, ageMs };
  }

  /** Whether `reader` is a daemon with a rank smaller than `rank`. */
  hasReaderBelow(rank: number): boolean {
    const reader = this.#freshReader();
    return reader !== undefined &&
      this.#options.membership.rankOf(reader.vmId) < rank;
  }

  /** Records that the platform has just confirmed the versions to this daemon. */
  confirm(): void {
    const { membership } = this.#options;
    this.recordAge(0);
    this.recordReader({ vmId: membership.vmId, ageMs: 0 });
  }

  /** Records that the platform confirmed the versions in force to this or another daemon `ageMs` ago. */
  recordAge(ageMs: number): void {
    const atMs = this.#options.clock.nowMs() - ageMs;
    this.#youngestAtMs = Math.max(this.#youngestAtMs ?? atMs, atMs);
  }

  /**
   * Records a daemon of the zone to which the platform confirmed the versions `ageMs` ago, if that is less than
   * `staleAfterMs`. The call has no effect while `reader` is a daemon with a smaller rank, or the same daemon with a
   * newer confirmation.
   */
  recordReader({ vmId, ageMs }: ConfirmedReader): void {
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
