import { Agent, type ClientRequest } from "node:http";
import type { Socket } from "node:net";
import type { RequestClass } from "@tanagercove/types";

/**
 * Maximum idle time of a connection for non-idempotent requests. An idle
 * connection may be dropped silently; the next request on it is then reset, and
 * it is unknown whether it ran. Connections in steady use stay below this time.
 */
const NON_IDEMPOTENT_IDLE_MS = 300;

/** Number of refusals after which a connection is closed, so that few ids are remembered for each. */
const MAX_REFUSALS = 64;

/** Options of `ConnectionAgent`. */
export interface ConnectionAgentOptions {
  /** Idle time after which a connection is closed, since it may have been dropped silently. */
  readonly maxIdleMs: number;
  /** Whether connections are used more than once; true by default. */
  readonly keepAlive?: boolean;
  /** Called when the other end closes a connection that is idle. */
  readonly onIdleClose?: (() => void) | undefined;
}

/** Keep-alive connections by destination; one is reused only if nothing has arrived on it while it was idle. */
export class ConnectionAgent extends Agent {
  #opened = 0;
  readonly #onIdleClose: (() => void) | undefined;
  /** Idle connections, with the times at which they were opened; kept only if their closing is reported. */
  readonly #idle = new Map<Socket, number>();
  readonly #openedAtMs = new WeakMap<Socket, number>();

  constructor(
    { maxIdleMs, keepAlive = true, onIdleClose }: ConnectionAgentOptions,
  ) {
    super({ keepAlive, scheduling: "lifo", timeout: maxIdleMs });
    this.#onIdleClose = onIdleClose;
  }

  /** Times at which the connections were opened that are idle. */
  idleConnections(): Iterable<number> {
    return this.#idle.values();
  }

  /** Connections opened so far. */
  get opened(): number {
    return this.#opened;
  }

  /** Called by Node when an exchange ends; false closes the connection. */
  override keepSocketAlive(socket: Socket): boolean {
    // @ts-expect-error: documented by Node, missing in its types.
    if (super.keepSocketAlive(socket) === false) return false;
    if (socket.readableLength > 0) return false;
    socket.on("data", destroyOnData);
    const openedAtMs = this.#openedAtMs.get(socket);
    if (openedAtMs !== undefined) this.#idle.set(socket, openedAtMs);
    return true;
  }

  /** Called by Node when an idle connection is reused. */
  override reuseSocket(socket: Socket, request: ClientRequest): void {
    socket.off("data", destroyOnData);
    this.#idle.delete(socket);
    super.reuseSocket(socket, request);
  }

  /** Called by Node to open a connection. */
  override createConnection(...args: unknown[]): Socket {
    this.#opened += 1;
    // @ts-expect-error: documented by Node, missing in its types.
    const socket = super.createConnection(...args) as Socket;
    socket.setNoDelay(true);
    if (this.#onIdleClose !== undefined) this.#watch(socket);
    return socket;
  }

  #watch(socket: Socket): void {
    const endIdle = () => {
      if (this.#idle.delete(socket)) this.#onIdleClose!();
    };
    socket.once(
      "connect",
      () => this.#openedAtMs.set(socket, performance.now()),
    );
    socket.once("end", endIdle);
    socket.once("error", endIdle);
    // This end closes a connection that has been idle for too long.
    socket.once("close", () => this.#idle.delete(socket));
  }
}

/** Options of `ConnectionAgents.forRequest`. */
export interface ForRequestOptions {
  readonly requestClass: RequestClass;
  /** Id that the answers to the request bear. */
  readonly requestId: string;
}

/** Separate connections for each class of requests. */
export class ConnectionAgents {
  readonly #agents: Readonly<Record<RequestClass, ConnectionAgent>>;
  /** Opens a connection for each request. */
  readonly #singleUse: ConnectionAgent;
  /** Ids of the requests that were refused on each open connection. */
  readonly #refusedIds = new Map<Socket, Set<string>>();

  constructor({ maxIdleMs, onIdleClose }: ConnectionAgentOptions) {
    this.#agents = {
      idempotent: new ConnectionAgent({ maxIdleMs, onIdleClose }),
      non_idempotent: new ConnectionAgent({
        onIdleClose,
        maxIdleMs: Math.min(maxIdleMs, NON_IDEMPOTENT_IDLE_MS),
      }),
    };
    this.#singleUse = new ConnectionAgent({ maxIdleMs, keepAlive: false });
  }

  /** Connections opened so far. */
  get opened(): number {
    return [...Object.values(this.#agents), this.#singleUse].reduce(
      (sum, { opened }) => sum + opened,
      0,
    );
  }

  /** Connections that are used once, as by health checks, which must reach the process that listens now. */
  get forSingleUse(): ConnectionAgent {
    return this.#singleUse;
  }

  /** Times at which the connections were opened that are idle. */
  *idleConnections(): Iterable<number> {
    for (const agent of Object.values(this.#agents)) {
      yield* agent.idleConnections();
    }
  }

  forClass(requestClass: RequestClass): ConnectionAgent {
    return this.#agents[requestClass];
  }

  /**
   * Connections for one exchange of a request. An answer names its request, not the exchange, so a request is not sent
   * on a connection on which it was refused: that refusal, written once more, would count for the new exchange.
   */
  forRequest({ requestClass, requestId }: ForRequestOptions): ConnectionAgent {
    for (const ids of this.#refusedIds.values()) {
      if (ids.has(requestId)) return this.#singleUse;
    }
    return this.forClass(requestClass);
  }

  /** Records that a request was refused on a connection; returns whether the connection may be kept. */
  recordRefusal(socket: Socket, requestId: string): boolean {
    let ids = this.#refusedIds.get(socket);
    if (ids === undefined) {
      ids = new Set();
      this.#refusedIds.set(socket, ids);
      socket.once("close", () => this.#refusedIds.delete(socket));
    }
    ids.add(requestId);
    return ids.size < MAX_REFUSALS;
  }

  close(): void {
    for (const agent of Object.values(this.#agents)) agent.destroy();
    this.#singleUse.destroy();
  }
}

/** Bytes that arrive while a connection is idle belong to no request. */
function destroyOnData(this: Socket): void {
  this.destroy();
}
