import { createServer, type Socket } from "node:net";

/** Bytes of an endless answer: `start` once, then `filler` until the caller closes. */
export interface EndlessAnswer {
  readonly start: string;
  readonly filler: string;
}

/** Options of `startEndlessServer`. */
export interface StartEndlessServerOptions {
  readonly address: string;
  /** A free port by default. */
  readonly port?: number;
  /** Answer to a request, whose head and body are given as text. */
  readonly answer: (request: string) => EndlessAnswer;
  /** Pause between two blocks of 64 KiB; while the caller keeps up, `sentBytes` is about what it has received. */
  readonly blockIntervalMs?: number;
}

/** One connection on which a request arrived. */
export interface EndlessConnection {
  sentBytes: number;
  /** Time from the first byte of the answer until the close; undefined while the connection is open. */
  durationMs: number | undefined;
}

/** A TCP server whose answers have no end. */
export interface EndlessServer {
  readonly port: number;
  readonly connections: readonly EndlessConnection[];
  close(): void;
}

const BLOCK_BYTES = 64 * 1024;

/** Starts a TCP server that sends an endless answer to each connection's first request. */
export async function startEndlessServer(
  { address, port = 0, answer, blockIntervalMs = 5 }: StartEndlessServerOptions,
): Promise<EndlessServer> {
  const connections: EndlessConnection[] = [];
  const sockets = new Set<Socket>();
  const server = createServer({ noDelay: true }, (socket) => {
    sockets.add(socket);
    socket.on("close", () => sockets.delete(socket));
    socket.on("error", () => {});
    let request = "";
    let isAnswering = false;
    socket.on("data", (chunk) => {
      request += chunk.toString("latin1");
      if (isAnswering || !request.includes("\r\n\r\n")) return;
      isAnswering = true;
      sendEndlessly(socket, answer(request));
    });
  });

  function sendEndlessly(
    socket: Socket,
    { start, filler }: EndlessAnswer,
  ): void {
    const startedMs = performance.now();
    const connection: EndlessConnection = {
      sentBytes: 0,
      durationMs: undefined,
    };
    connections.push(connection);
    const block = Buffer.from(
      filler.repeat(Math.ceil(BLOCK_BYTES / filler.length)),
    );
    const send = (bytes: Buffer) => {
      if (socket.destroyed) return;
      connection.sentBytes += bytes.length;
      if (socket.write(bytes)) sendLater();
      else socket.once("drain", sendLater);
    };
    const sendLater = () => setTimeout(send, blockIntervalMs, block);
    socket.on("close", () => {
      connection.durationMs = performance.now() - startedMs;
    });
    send(Buffer.from(start));
  }

  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, address, resolve);
  });
  return {
    port: (server.address() as { port: number }).port,
    connections,
    close() {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}
