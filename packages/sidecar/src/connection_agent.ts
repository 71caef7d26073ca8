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
}

/** Keep-alive connections by destination; one is reused only if nothing has arrived on it while it was idle. */
export class ConnectionAgent extends Agent {
  #opened = 0;

  constructor({ maxIdleMs, keepAlive = true }: ConnectionAgentOptions) {
    super({ keepAlive, scheduling: "lifo", timeout: maxIdleMs });
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
    return true;
  }

  /** Called by Node when an idle connection is reused. */
  override reuseSocket(socket: Socket, request: ClientRequest): void {
    socket.off("data", destroyOnData);
    super.reuseSocket(socket, request);
  }

  /** Called by Node to open a connection. */
  override createConnection(...args: unknown[]): Socket {
    this.#opened += 1;
    // @ts-expect-error: documented by Node, missing in its types.
    const socket = super.createConnection(...args) as Socket;
    socket.setNoDelay(true);
    return socket;
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

  constructor({ maxIdleMs }: ConnectionAgentOptions) {
    this.#agents = {
      idempotent: new ConnectionAgent({ maxIdleMs }),
      non_idempotent: new ConnectionAgent({
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
