import type { Catalog } from "@tanagercove/catalog";
import type { UpstreamEntry } from "@tanagercove/types";

/**
 * Time for which a zone counts as evacuated after an owner daemon in it has said so. A daemon that has not heard of the
 * evacuation learns of it within that time: its own reader or watch tells it, or it fetches what the owner daemon holds.
 */
const NOTED_MS = 1_000;

/** Options of `EvacuatedZones`. */
export interface EvacuatedZonesOptions {
  readonly catalog: Pick<Catalog, "isEvacuated" | "evacuationRevisionOf">;
  /** Monotonic time in milliseconds. */
  readonly nowMs?: () => number;
}

/** The upstream of a request, and its zone. */
type PlacedUpstream = Pick<UpstreamEntry, "id" | "zone">;

/**
 * The upstreams that get no request from this daemon because their zone is evacuated: by the catalog, and for a short
 * time by the word of an owner daemon that refuses requests because it knows of an evacuation already. One that has not
 * heard of the end of an evacuation speaks for its own upstream only.
 */
export class EvacuatedZones {
  readonly #catalog: EvacuatedZonesOptions["catalog"];
  readonly #nowMs: () => number;
  readonly #zonesUntilMs = new Map<string, number>();
  readonly #upstreamsUntilMs = new Map<string, number>();

  constructor({ catalog, nowMs }: EvacuatedZonesOptions) {
    this.#catalog = catalog;
    this.#nowMs = nowMs ?? (() => performance.now());
  }

  /** Records that the owner daemon of an upstream, which knows the platform up to a revision, says that its zone is evacuated. */
  note({ id, zone }: PlacedUpstream, ownerRevision: number): void {
    const isOutdated = ownerRevision < this.#catalog.evacuationRevisionOf(zone);
    const untilMs = this.#nowMs() + NOTED_MS;
    if (!isOutdated) this.#zonesUntilMs.set(zone, untilMs);
    this.#upstreamsUntilMs.set(id, untilMs);
    this.#forgetPast();
  }

  has({ id, zone }: PlacedUpstream): boolean {
    return this.#catalog.isEvacuated(zone) ||
      this.#nowMs() < (this.#zonesUntilMs.get(zone) ?? 0) ||
      this.#nowMs() < (this.#upstreamsUntilMs.get(id) ?? 0);
  }

  #forgetPast(): void {
    const nowMs = this.#nowMs();
    for (const [id, untilMs] of this.#upstreamsUntilMs) {
      if (untilMs <= nowMs) this.#upstreamsUntilMs.delete(id);
    }
  }
}
