/** What a daemon knows of the link of a VM. */
export interface KnownLink {
  readonly linkMbps: number;
  /** Time since the VM itself told it; undefined if a daemon of an earlier version passed it on. */
  readonly toldMsAgo?: number;
}

/** Links of the VMs of a zone, by address. */
export type LinkTable = Readonly<Record<string, KnownLink>>;

/** Options of `ZoneLinks`. */
export interface ZoneLinksOptions {
  readonly ownAddress: string;
  /** Bandwidth of this VM's link. */
  readonly ownLinkMbps: number;
  /** Addresses of all VMs of this zone, this one included; the first ones keep the table for the others. */
  readonly zoneAddresses: () => readonly string[];
  /** Tells another daemon the bandwidth of this VM and returns its table; undefined if it does not answer. */
  readonly exchange: (address: string) => Promise<LinkTable | undefined>;
  /** Monotonic time in milliseconds. */
  readonly nowMs?: () => number;
}

interface HeldLink {
  readonly linkMbps: number;
  /** When the VM itself told it, on this daemon's clock. */
  readonly toldAtMs: number;
}

/**
 * First pause between exchanges while the bandwidth of a VM of this zone is unknown, or a keeper has not been told that
 * of this VM; doubles up to `MAX_PAUSE_MS`.
 */
const MIN_PAUSE_MS = 250;
const MAX_PAUSE_MS = 10_000;

/** Number of daemons that are asked in turn, so that one that does not answer is passed over. */
const KEEPERS = 3;

/**
 * Learns the link bandwidths of the VMs of this zone. Each daemon tells its own to
 * the keepers of the table, which are the first daemons of the zone, and gets the
 * table in return. Of two values for an address, the one that its VM told last
 * counts: the address may have gone from a lost VM to another one.
 */
export class ZoneLinks {
  readonly #options: ZoneLinksOptions;
  readonly #nowMs: () => number;
  readonly #links = new Map<string, HeldLink>();
  readonly #toldKeepers = new Set<string>();
  #isClosed = false;
  #retryPauseMs = MIN_PAUSE_MS;
  #wake: () => void = () => {};
  #loop: Promise<void> = Promise.resolve();

  constructor(options: ZoneLinksOptions) {
    this.#options = options;
    this.#nowMs = options.nowMs ?? (() => performance.now());
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
    const { ownAddress, ownLinkMbps } = this.#options;
    return address === ownAddress
      ? ownLinkMbps
      : this.#links.get(address)?.linkMbps;
  }

  /** Records what another daemon tells of its VM. */
  record(address: string, linkMbps: number): void {
    this.#links.set(address, { linkMbps, toldAtMs: this.#nowMs() });
  }

  /** The known bandwidths, of VMs that the catalog lists. */
  table(): LinkTable {
    return Object.fromEntries(
      this.#options.zoneAddresses().flatMap((address) => {
        const link = this.#knownLink(address);
        return link === undefined ? [] : [[address, link]];
      }),
    );
  }

  #knownLink(address: string): KnownLink | undefined {
    const { ownAddress, ownLinkMbps } = this.#options;
    if (address === ownAddress) return { linkMbps: ownLinkMbps, toldMsAgo: 0 };
    const held = this.#links.get(address);
    if (held === undefined) return undefined;
    const { linkMbps, toldAtMs } = held;
    return toldAtMs === -Infinity
      ? { linkMbps }
      : { linkMbps, toldMsAgo: this.#nowMs() - toldAtMs };
  }

  /** Starts an exchange soon if the bandwidth of a VM of this zone is unknown. */
  refresh(): void {
    if (this.#isComplete()) return;
    this.#retryPauseMs = MIN_PAUSE_MS;
    this.#wake();
  }

  #isComplete(): boolean {
    return this.#options.zoneAddresses().every((address) =>
      this.linkMbpsOf(address) !== undefined
    );
  }

  async #exchangeInTurn(): Promise<void> {
    const { ownAddress, zoneAddresses, exchange } = this.#options;
    for (let turn = 0; !this.#isClosed; turn += 1) {
      const keepers = zoneAddresses().slice(0, KEEPERS);
      const keeper = keepers[turn % keepers.length];
      if (keeper !== undefined && keeper !== ownAddress) {
        const table = await exchange(keeper);
        if (table !== undefined) {
          this.#toldKeepers.add(keeper);
          this.#merge(table);
        }
      }
      this.#forgetRemoved();
      const isDone = this.#isComplete() &&
        keepers.every((address) =>
          address === ownAddress || this.#toldKeepers.has(address)
        );
      await this.#pause(isDone ? MAX_PAUSE_MS : this.#retryPauseMs);
      this.#retryPauseMs = Math.min(MAX_PAUSE_MS, 2 * this.#retryPauseMs);
    }
  }

  #merge(table: LinkTable): void {
    const nowMs = this.#nowMs();
    for (const [address, { linkMbps, toldMsAgo }] of Object.entries(table)) {
      const toldAtMs = nowMs - (toldMsAgo ?? Infinity);
      const held = this.#links.get(address);
      if (held === undefined || toldAtMs > held.toldAtMs) {
        this.#links.set(address, { linkMbps, toldAtMs });
      }
    }
  }

  #forgetRemoved(): void {
    const addresses = new Set(this.#options.zoneAddresses());
    for (const address of this.#links.keys()) {
      if (!addresses.has(address)) this.#links.delete(address);
    }
    for (const keeper of this.#toldKeepers) {
      if (!addresses.has(keeper)) this.#toldKeepers.delete(keeper);
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
