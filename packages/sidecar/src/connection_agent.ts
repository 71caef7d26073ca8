import { Agent, type ClientRequest } from "node:http";
import type { Socket } from "node:net";

/** Options of `ConnectionAgent`. */
export interface ConnectionAgentOptions {
  /** Idle time after which a connection is closed, since it may be dead without any sign. */
  readonly maxIdleMs: number;
}

/** Connections by destination, used again while they are idle and sound. */
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

  /** Called by Node when an idle connection is used again. */
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

/** Bytes that arrive while a connection is idle belong to no request. */
function destroyOnData(this: Socket): void {
  this.destroy();
}
