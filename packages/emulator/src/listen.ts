import type { AddressInfo, Server } from "node:net";

/** Options of `listen`. */
export interface ListenOptions {
  readonly host: string;
  /** 0 lets the system choose. */
  readonly port: number;
}

/** Starts a server and returns its port. */
export function listen(
  server: Server,
  { host, port }: ListenOptions,
): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen({ host, port, backlog: LISTEN_BACKLOG }, () => {
      server.off("error", reject);
      resolve((server.address() as AddressInfo).port);
    });
  });
}

/** A whole fleet that reconnects at once must not overflow the accept queue. */
const LISTEN_BACKLOG = 4_096;
