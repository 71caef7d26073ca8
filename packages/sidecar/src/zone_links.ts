/** Link bandwidth in Mbit/s of the VMs of a zone, by address. */
export type LinkTable = Readonly<Record<string, number>>;

/** Options of `ZoneLinks`. */
export interface ZoneLinksOptions {
  readonly ownAddress: string;
  /** Bandwidth of this VM's link. */
  readonly ownLinkMbps: number;
  /** Addresses of all VMs of this zone, this one included; the first ones keep the table for the others. */
  readonly zoneAddresses: () => readonly string[];
  /** Tells another daemon the bandwidth of this VM and returns its table; undefined if it does not answer. */
  readonly exchange: (address: string) => Promise<LinkTable | undefined>;
}

/** First pause between exchanges while the bandwidth of a VM of this zone is unknown; doubles up to `MAX_PAUSE_MS`. */
const MIN_PAUSE_MS = 250;
const MAX_PAUSE_MS = 10_000;

/** Number of daemons that are asked in turn, so that one that does not answer is passed over. */
const KEEPERS = 3;

/**
 * Learns the link bandwidths of the VMs of this zone. Each daemon tells its own to
 * the keepers of the table, which are the first daemons of the zone, and gets the
 * table in return.
 */
export class ZoneLinks {
  readonly #options: ZoneLinksOptions;
  readonly #linkMbps: Map<string, number>;
  #isClosed = false;
  #retryPauseMs = MIN_PAUSE_MS;
  #wake: () => void = () => {};
  #loop: Promise<void> = Promise.resolve();

  constructor(options: ZoneLinksOptions) {
    this.#options = options;
    this.#linkMbps = new Map([[options.ownAddress, options.ownLinkMbps]]);
  }

  start(): void {
    this.#loop = this.#exchangeInTurn();
  }

  async close(): Promise<void> {
    this.#isClosed = true;
    this.#wake();
    await this.#loop;
  }

  /** Bandwidth of a VM's link; undefined if it is not known yet. */
  linkMbpsOf(address: string): number | undefined {
    return this.#linkMbps.get(address);
  }

  /** Records what another daemon tells of its VM. */
  record(address: string, linkMbps: number): void {
    if (address !== this.#options.ownAddress) {
      this.#linkMbps.set(address, linkMbps);
    }
  }

  /** The known bandwidths, of VMs that the catalog lists. */
  table(): LinkTable {
    return Object.fromEntries(
      this.#options.zoneAddresses()
        .filter((address) => this.#linkMbps.has(address))
        .map((address) => [address, this.#linkMbps.get(address)!]),
    );
  }

  /** Starts an exchange soon if the bandwidth of a VM of this zone is unknown. */
  refresh(): void {
    if (this.#isComplete()) return;
    this.#retryPauseMs = MIN_PAUSE_MS;
    this.#wake();
  }

  #isComplete(): boolean {
    return this.#options.zoneAddresses().every((address) =>
      this.#linkMbps.has(address)
    );
  }

  async #exchangeInTurn(): Promise<void> {
    const { ownAddress, zoneAddresses, exchange } = this.#options;
    for (let turn = 0; !this.#isClosed; turn += 1) {
      const keepers = zoneAddresses().slice(0, KEEPERS);
      const keeper = keepers[turn % keepers.length];
      if (keeper !== undefined && keeper !== ownAddress) {
        const table = await exchange(keeper) ?? {};
        for (const [address, linkMbps] of Object.entries(table)) {
          // What a VM has told itself is newer than what another one remembers.
          if (!this.#linkMbps.has(address)) this.record(address, linkMbps);
        }
      }
      this.#forgetRemoved();
      await this.#pause(this.#isComplete() ? MAX_PAUSE_MS : this.#retryPauseMs);
      this.#retryPauseMs = Math.min(MAX_PAUSE_MS, 2 * this.#retryPauseMs);
    }
  }

  /** The address of a removed VM may be used again by one with another link. */
  #forgetRemoved(): void {
    const addresses = new Set(this.#options.zoneAddresses());
    for (const address of this.#linkMbps.keys()) {
      const isOwn = address === this.#options.ownAddress;
      if (!isOwn && !addresses.has(address)) this.#linkMbps.delete(address);
    }
  }

  /** Waits until the next exchange is due, is asked for, or will never be made. */
  async #pause(pauseMs: number): Promise<void> {
    if (this.#isClosed) return;
    const durationMs = pauseMs * (0.75 + Math.random() / 2);
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, durationMs);
      this.#wake = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }
}
