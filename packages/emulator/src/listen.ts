import type { AddressInfo, Server } from "node:net";

/** Options of `listen`. */
export interface ListenOptions {
  readonly host: string;
  /** 0 lets the operating system choose. */
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

/** A fleet whose daemons all reconnect at once must not overflow the accept queue. */
const LISTEN_BACKLOG = 4_096;
