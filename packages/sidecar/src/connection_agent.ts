import { Agent, type ClientRequest } from "node:http";
import type { Socket } from "node:net";
import type { RequestClass } from "@tanagercove/types";

/**
 * Maximum idle time of a connection for non-idempotent requests. An idle
 * connection may be dropped silently; the next request on it is then reset, and
 * it is unknown whether it ran. Connections in steady use stay below this time.
 */
const NON_IDEMPOTENT_IDLE_MS = 300;

/** Options of `ConnectionAgent`. */
export interface ConnectionAgentOptions {
  /** Idle time after which a connection is closed, since it may have been dropped silently. */
  readonly maxIdleMs: number;
}

/** Keep-alive connections by destination; one is reused only if nothing has arrived on it while it was idle. */
export class ConnectionAgent extends Agent {
  #opened = 0;

  constructor({ maxIdleMs }: ConnectionAgentOptions) {
    super({ keepAlive: true, scheduling: "lifo", timeout: maxIdleMs });
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

/** Separate connections for each class of requests. */
export class ConnectionAgents {
  readonly #agents: Readonly<Record<RequestClass, ConnectionAgent>>;

  constructor({ maxIdleMs }: ConnectionAgentOptions) {
    this.#agents = {
      idempotent: new ConnectionAgent({ maxIdleMs }),
      non_idempotent: new ConnectionAgent({
        maxIdleMs: Math.min(maxIdleMs, NON_IDEMPOTENT_IDLE_MS),
      }),
    };
  }

  /** Connections opened so far. */
  get opened(): number {
    return this.#agents.idempotent.opened + this.#agents.non_idempotent.opened;
  }

  forClass(requestClass: RequestClass): ConnectionAgent {
    return this.#agents[requestClass];
  }

  close(): void {
    for (const agent of Object.values(this.#agents)) agent.destroy();
  }
}

/** Bytes that arrive while a connection is idle belong to no request. */
function destroyOnData(this: Socket): void {
  this.destroy();
}
