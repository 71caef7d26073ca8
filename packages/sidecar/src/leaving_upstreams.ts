import type { Catalog } from "@tanagercove/catalog";
import type { UpstreamEntry } from "@tanagercove/types";

/**
 * Upstreams that say in their answers that they leave, possibly before their entry does. Another start of an upstream
 * under the same id is not leaving.
 */
export class LeavingUpstreams {
  readonly #catalog: Pick<Catalog, "upstreams">;
  /** Start of each leaving upstream, by id. */
  readonly #bornMsById = new Map<string, number>();

  constructor(catalog: Pick<Catalog, "upstreams">) {
    this.#catalog = catalog;
  }

  /** Records that the start of an upstream that an entry describes is leaving; returns whether that is new. */
  add({ id, bornMs }: Pick<UpstreamEntry, "id" | "bornMs">): boolean {
    if ((this.#bornMsById.get(id) ?? -Infinity) >= bornMs) return false;
    this.#bornMsById.set(id, bornMs);
    return true;
  }

  has({ id, bornMs }: Pick<UpstreamEntry, "id" | "bornMs">): boolean {
    return this.#bornMsById.get(id) === bornMs;
  }

  /** Forgets upstreams that the catalog no longer lists. */
  forgetRemoved(): void {
    for (const id of this.#bornMsById.keys()) {
      if (!this.#catalog.upstreams.has(id)) this.#bornMsById.delete(id);
    }
  }
}
