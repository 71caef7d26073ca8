import {
  createServer as createTcpServer,
  type Server as TcpServer,
} from "node:net";
import type { Server } from "node:http";
import { ALL_FIELDS } from "@tanagercove/headers";

/** A server that listens on one or more ports. */
export interface HttpListener {
  readonly server: Server;
  /** Stops listening and closes all connections. */
  close(): Promise<void>;
}

/** Options of `listenHttp`. */
export interface ListenHttpOptions {
  readonly address: string;
  /** Ports that all serve the same requests. */
  readonly ports: readonly number[];
}

/** Connections that may wait to be accepted; all clients of a VM may reconnect at once. */
const BACKLOG = 511;

/** Listens on all ports with one HTTP server. */
export async function listenHttp(
  server: Server,
  { address, ports }: ListenHttpOptions,
): Promise<HttpListener> {
  const [firstPort, ...otherPorts] = ports;
  server.maxHeadersCount = ALL_FIELDS;
  await listen(server, { address, port: firstPort! });
  const otherServers = await Promise.all(otherPorts.map(async (port) => {
    const tcp = createTcpServer(
      { noDelay: true },
      (socket) => server.emit("connection", socket),
    );
    await listen(tcp, { address, port });
    return tcp;
  }));
  return {
    server,
    async close() {
      await Promise.all([
        closeServer(server, () => server.closeAllConnections()),
        ...otherServers.map((tcp) => closeServer(tcp)),
      ]);
    },
  };
}

function listen(
  server: TcpServer,
  { address, port }: { readonly address: string; readonly port: number },
): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen({ host: address, port, backlog: BACKLOG }, resolve);
  });
}

function closeServer(
  server: TcpServer,
  closeConnections?: () => void,
): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
    closeConnections?.();
  });
}
