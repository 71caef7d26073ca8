import type { Result } from "true-myth";
import type { RpcError } from "@tanagercove/errors";
import { createPlainTransport, type PeerTransport } from "@tanagercove/keys";
import { SocketByteCounter } from "@tanagercove/metrics";
import { MAX_BODY_BYTES } from "./body.ts";
import { PeerConnection } from "./peer_connection.ts";
import { type RpcMethod, TIMEOUT_MS_BY_METHOD } from "./rpc_methods.ts";

/** Where a daemon's peer port listens. */
export interface RpcPeer {
  /** IP address. */
  readonly address: string;
  readonly port: number;
}

/** One call. */
export interface RpcCall {
  readonly method: RpcMethod;
  readonly params: unknown;
  /** The method's timeout by default. Runs from the start of the call, including the wait for earlier calls. */
  readonly timeoutMs?: number;
}

/** Calls other daemons. The result is from the network and must be checked. */
export interface RpcCaller {
  call(peer: RpcPeer, call: RpcCall): Promise<Result<unknown, RpcError>>;
  /** Closes connections without an open call; they may be dead after a pause of this process. */
  closeIdle(): void;
}

/** Options of `RpcClient`. */
export interface RpcClientOptions {
  /** Address from which connections are opened; the VM's own. */
  readonly localAddress?: string;
  readonly bytes?: SocketByteCounter;
  /** Without TLS by default. */
  readonly transport?: PeerTransport;
  readonly timeoutMsByMethod?: Readonly<Record<RpcMethod, number>>;
  /** Limit on a response body, before and after decompression. */
  readonly maxBodyBytes?: number;
  /** Calls to one peer that are open at once, the running one included. */
  readonly maxCallsPerPeer?: number;
  /** Above this many connections, the least recently used idle ones are closed. */
  readonly maxConnections?: number;
  /** Time after which a connection without calls is closed. */
  readonly idleMs?: number;
}

/** Calls other daemons over one connection per peer, with one call at a time on each. */
export class RpcClient implements RpcCaller {
  readonly #options: RpcClientOptions;
  readonly #bytes: SocketByteCounter;
  readonly #transport: PeerTransport;
  /** By address and port, the least recently used first. */
  readonly #connections = new Map<string, PeerConnection>();
  readonly #ending = new Set<Promise<void>>();
  #closed = false;

  constructor(options: RpcClientOptions = {}) {
    this.#options = options;
    this.#bytes = options.bytes ?? new SocketByteCounter();
    this.#transport = options.transport ?? createPlainTransport();
  }

  /** Connections open or about to open. */
  get connectionCount(): number {
    return this.#connections.size;
  }

  async call(
    peer: RpcPeer,
    call: RpcCall,
  ): Promise<Result<unknown, RpcError>> {
    const defaults = this.#options.timeoutMsByMethod ?? TIMEOUT_MS_BY_METHOD;
    const timeoutMs = call.timeoutMs ?? defaults[call.method];
    return await this.#connectionTo(peer).call({ ...call, timeoutMs });
  }

  closeIdle(): void {
    for (const connection of this.#connections.values()) connection.endIfIdle();
  }

  /** Ends all calls and connections. */
  async close(): Promise<void> {
    this.#closed = true;
    for (const connection of this.#connections.values()) connection.end();
    await Promise.all(this.#ending);
  }

  #connectionTo(peer: RpcPeer): PeerConnection {
    const key = `${peer.address} ${peer.port}`;
    const known = this.#connections.get(key);
    this.#connections.delete(key);
    const connection = known ?? this.#open(peer, key);
    if (!this.#closed) this.#connections.set(key, connection);
    return connection;
  }

  #open(peer: RpcPeer, key: string): PeerConnection {
    this.#closeIdleAboveLimit();
    const connection: PeerConnection = new PeerConnection({
      peer,
      bytes: this.#bytes,
      transport: this.#transport,
      connectTimeoutMs: Math.max(
        ...Object.values(
          this.#options.timeoutMsByMethod ?? TIMEOUT_MS_BY_METHOD,
        ),
      ),
      localAddress: this.#options.localAddress,
      maxBodyBytes: this.#options.maxBodyBytes ?? MAX_BODY_BYTES,
      maxCalls: this.#options.maxCallsPerPeer ?? 8,
      // Longer than the time between two calls to a digest partner (4 to 16 s if digests are exchanged every
      // 1 to 2 s), so that connections are reused. Shorter than the server's idle timeout (25 s), so that the
      // server does not reset a new call.
      idleMs: this.#options.idleMs ?? 20_000,
      onEnd: () => {
        if (this.#connections.get(key) === connection) {
          this.#connections.delete(key);
        }
      },
    });
    if (this.#closed) connection.end();
    this.#ending.add(connection.ended);
    void connection.ended.then(() => this.#ending.delete(connection.ended));
    return connection;
  }

  #closeIdleAboveLimit(): void {
    const maxConnections = this.#options.maxConnections ?? 64;
    for (const connection of this.#connections.values()) {
      if (this.#connections.size < maxConnections) return;
      connection.endIfIdle();
    }
  }
}
