import { type Client, type Dispatcher, Pool } from "undici";
import type { PeerTransport } from "@tanagercove/keys";

/** Subtracted from a server's Keep-Alive hint, so that this side closes first. */
const KEEP_ALIVE_MARGIN_MS = 500;

const CONNECT_TIMEOUT_MS = 1_000;

/** Limit on headers at the peer port and in responses: the 16 KB allowed to callers, plus what the daemons add. */
export const PEER_MAX_HEADER_BYTES = 24 * 1024;

/** Pools unused for this time are closed at the next check, since VMs come and go. Also the time between checks. */
const POOL_UNUSED_MS = 60_000;

/** How connections are opened and kept. */
export interface ConnectionOptions {
  /** Local address from which connections are opened. */
  readonly localAddress: string;
  /** Idle time after which a connection is closed, since it may have died unnoticed. */
  readonly maxIdleMs: number;
  /** Opens connections to other daemons; without TLS by default. */
  readonly transport?: PeerTransport;
}

/** Options of `ConnectionPools`. */
export interface ConnectionPoolsOptions extends ConnectionOptions {
  /** Connections to one destination; unlimited by default. */
  readonly connections?: number;
}

interface PoolEntry {
  readonly pool: Pool;
  usedAtMs: number;
}

/** Options of undici for connections between daemons and to upstreams. */
export function clientOptions(
  { localAddress, maxIdleMs, transport }: ConnectionOptions,
): Client.Options {
  const keepAliveMs = Math.max(1, maxIdleMs);
  return {
    localAddress,
    keepAliveTimeout: keepAliveMs,
    keepAliveMaxTimeout: keepAliveMs,
    keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
    connectTimeout: CONNECT_TIMEOUT_MS,
    connect: transport?.connector({ timeoutMs: CONNECT_TIMEOUT_MS }),
    maxHeaderSize: PEER_MAX_HEADER_BYTES,
    // Exchanges have their own deadline.
    headersTimeout: 0,
    bodyTimeout: 0,
  };
}

/** Keeps one pool of connections for each destination. */
export class ConnectionPools {
  readonly #options: ConnectionPoolsOptions;
  readonly #entries = new Map<string, PoolEntry>();
  readonly #pruneTimer: NodeJS.Timeout;

  constructor(options: ConnectionPoolsOptions) {
    this.#options = options;
    this.#pruneTimer = setInterval(() => this.#prune(), POOL_UNUSED_MS);
    this.#pruneTimer.unref();
  }

  /** Returns the pool of connections to an `IP:PORT`; opens the pool if there is none. */
  dispatcherFor(destination: string): Dispatcher {
    const entry = this.#entries.get(destination) ?? this.#open(destination);
    entry.usedAtMs = performance.now();
    return entry.pool;
  }

  /** Closes all connections at once; exchanges on them fail. */
  async close(): Promise<void> {
    clearInterval(this.#pruneTimer);
    const pools = [...this.#entries.values()].map(({ pool }) => pool);
    this.#entries.clear();
    await Promise.all(pools.map((pool) => pool.destroy()));
  }

  #open(destination: string): PoolEntry {
    const entry = {
      pool: new Pool(`http://${destination}`, {
        ...clientOptions(this.#options),
        connections: this.#options.connections ?? null,
      }),
      usedAtMs: 0,
    };
    this.#entries.set(destination, entry);
    return entry;
  }

  #prune(): void {
    const beforeMs = performance.now() - POOL_UNUSED_MS;
    for (const [destination, { pool, usedAtMs }] of this.#entries) {
      if (usedAtMs > beforeMs) continue;
      this.#entries.delete(destination);
      // `close` lets the exchanges in flight finish.
      void pool.close();
    }
  }
}
