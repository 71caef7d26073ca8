import type { Socket } from "node:net";

/** Bytes of TCP payload, HTTP headers included. */
export interface ByteTotals {
  readonly sentBytes: number;
  readonly receivedBytes: number;
}

/** Sums the bytes of all sockets given to it, open or closed. */
export class SocketByteCounter {
  readonly #open = new Set<Socket>();
  #sentBytes = 0;
  #receivedBytes = 0;

  /** Counts all bytes of an open socket, past and future; a destroyed one is ignored. */
  track(socket: Socket): void {
    if (this.#open.has(socket) || socket.destroyed) return;
    this.#open.add(socket);
    socket.once("close", () => {
      this.#open.delete(socket);
      this.#sentBytes += socket.bytesWritten;
      this.#receivedBytes += socket.bytesRead;
    });
  }

  totals(): ByteTotals {
    let sentBytes = this.#sentBytes;
    let receivedBytes = this.#receivedBytes;
    for (const socket of this.#open) {
      sentBytes += socket.bytesWritten;
      receivedBytes += socket.bytesRead;
    }
    return { sentBytes, receivedBytes };
  }
}
