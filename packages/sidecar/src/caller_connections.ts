import type { Socket } from "node:net";
import type { CallerRequest } from "./caller_request.ts";

interface CallerConnection {
  /** Requests whose answers have not been sent, in the order of their arrival. */
  readonly pending: Set<CallerRequest>;
  /** Whether the answer to the newest request closes the connection. */
  isClosing: boolean;
}

/**
 * Requests in flight, by the connection that they arrived on. Node does not
 * notify a response of the end of its connection while responses to earlier
 * requests on it are unsent, so the end is detected on the socket.
 */
export class CallerConnections {
  readonly #connections = new Map<Socket, CallerConnection>();
  #inFlight = 0;

  /** Requests whose answers have not been sent. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /**
   * Whether a caller may not have received its answer: a request is in flight, or a caller has not closed the
   * connection that its last answer closes.
   */
  get isSending(): boolean {
    return [...this.#connections.values()].some(({ pending, isClosing }) =>
      isClosing || pending.size > 0
    );
  }

  /** Requests in flight on all connections. */
  *[Symbol.iterator](): IterableIterator<CallerRequest> {
    for (const { pending } of this.#connections.values()) yield* pending;
  }

  /** Adds a request; its attempt is cancelled if the connection ends before the answer has been sent. */
  add(caller: CallerRequest): void {
    const connection = this.#connectionOf(caller.request.socket);
    connection.pending.add(caller);
    this.#inFlight += 1;
    caller.response.once("finish", () => {
      this.#settle(connection, caller);
      // The head of this answer may have been written before it was known that the connection closes.
      if (connection.isClosing && connection.pending.size === 0) {
        caller.request.socket.destroySoon();
      }
    });
    caller.response.once("close", () => this.#settle(connection, caller));
  }

  /** Whether a connection closes after an earlier answer, so that a new request on it can't be answered. */
  isClosing(socket: Socket): boolean {
    return this.#connections.get(socket)?.isClosing ?? false;
  }

  /**
   * Closes the connection of a request after its answer, unless later requests
   * on it are in flight: their answers would be lost.
   */
  closeAfterAnswer({ request, response }: CallerRequest): void {
    const connection = this.#connections.get(request.socket);
    if (connection === undefined) return;
    const newest = [...connection.pending].at(-1);
    if (newest?.response !== response) return;
    connection.isClosing = true;
    response.shouldKeepAlive = false;
  }

  /** The request that arrived last on a connection, if it is in flight. */
  newestOn(socket: Socket): CallerRequest | undefined {
    return [...this.#connections.get(socket)?.pending ?? []].at(-1);
  }

  /** Takes no further request on a connection, and closes it after the answers in flight. */
  closeAfterPending(socket: Socket): void {
    const connection = this.#connectionOf(socket);
    connection.isClosing = true;
    const newest = this.newestOn(socket);
    if (newest === undefined) socket.destroySoon();
    else newest.response.shouldKeepAlive = false;
  }

  #connectionOf(socket: Socket): CallerConnection {
    const known = this.#connections.get(socket);
    if (known !== undefined) return known;
    const connection = {
      pending: new Set<CallerRequest>(),
      isClosing: false,
    };
    this.#connections.set(socket, connection);
    // Node ends its side of the connection then, and the event `close` follows some turns of the event loop later. Until
    // that, answers that have been written are still sent.
    socket.once("end", () => {
      for (const caller of connection.pending) {
        if (!caller.response.writableEnded) this.#settle(connection, caller);
      }
    });
    socket.once("close", () => {
      this.#connections.delete(socket);
      for (const caller of connection.pending) this.#settle(connection, caller);
    });
    return connection;
  }

  #settle({ pending }: CallerConnection, caller: CallerRequest): void {
    if (!pending.delete(caller)) return;
    this.#inFlight -= 1;
    caller.releaseAnswer?.();
    caller.releaseHead?.();
    if (caller.response.writableFinished) return;
    caller.isDisconnected = true;
    caller.cancel?.();
  }
}
