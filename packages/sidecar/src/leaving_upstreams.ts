import type { Catalog } from "@tanagercove/catalog";
import type { UpstreamEntry } from "@tanagercove/types";

/**
 * Upstreams that say in their answers that they leave, possibly before their entry does. Another start of an upstream
 * under the same id is not leaving.
 */
export class LeavingUpstreams {
  readonly #catalog: Pick<Catalog, "upstreams">;
  /** Start of each leaving upstream, by id. */
  readonly #bornMsById = new Map<string, number | undefined>();

  constructor(catalog: Pick<Catalog, "upstreams">) {
    this.#catalog = catalog;
  }

  /** Records that an upstream leaves; returns whether that is new. Upstreams without an entry get no requests anyway. */
  add(id: string): boolean {
    const entry = this.#catalog.upstreams.get(id)?.entry;
    if (entry === undefined || this.has(entry)) return false;
    this.#bornMsById.set(id, entry.bornMs);
    return true;
  }

  has({ id, bornMs }: Pick<UpstreamEntry, "id" | "bornMs">): boolean {
    return this.#bornMsById.has(id) && this.#bornMsById.get(id) === bornMs;
  }

  /** Forgets upstreams that the catalog no longer lists. */
  forgetRemoved(): void {
    for (const id of this.#bornMsById.keys()) {
      if (!this.#catalog.upstreams.has(id)) this.#bornMsById.delete(id);
    }
  }
}
