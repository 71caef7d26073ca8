import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";

/** Handles a request on the peer port. */
export type PeerRequestHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => void | Promise<void>;

/** Options of `startPeerServer`. */
export interface StartPeerServerOptions {
  readonly address: string;
  readonly port: number;
  /** Handlers by path. */
  readonly handlers: Readonly<Record<string, PeerRequestHandler>>;
  /** Handles all other paths; the default answers 404. */
  readonly otherwise?: PeerRequestHandler;
}

/** A running peer server. */
export interface PeerServer {
  /** Stops listening and closes all connections. */
  close(): Promise<void>;
}

/** Starts the server that other daemons call. */
export async function startPeerServer(
  options: StartPeerServerOptions,
): Promise<PeerServer> {
  const otherwise: PeerRequestHandler = options.otherwise ??
    ((_request, response) => {
      response.writeHead(404).end();
    });
  const server = createServer((request, response) => {
    const path = request.url ?? "";
    const handler = Object.hasOwn(options.handlers, path)
      ? options.handlers[path]!
      : otherwise;
    void handler(request, response);
  });
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(options.port, options.address, resolve);
  });
  return {
    close() {
      server.closeAllConnections();
      return new Promise((resolve) => server.close(() => resolve()));
    },
  };
}
