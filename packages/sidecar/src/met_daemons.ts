/** Number of addresses that are kept, the latest ones; enough that some of these daemons answer. */
const MAX_MET = 8;

/**
 * Daemons that have forwarded requests to this one before it knows any other. After a start while the platform is away,
 * they are the only ones that can tell what this daemon needs to know.
 */
export class MetDaemons {
  readonly #addresses = new Set<string>();

  get addresses(): readonly string[] {
    return [...this.#addresses];
  }

  add(address: string): void {
    this.#addresses.delete(address);
    this.#addresses.add(address);
    if (this.#addresses.size <= MAX_MET) return;
    const [oldest] = this.#addresses;
    this.#addresses.delete(oldest!);
  }
}
