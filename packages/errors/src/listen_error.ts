/** Why a port could not be opened. */
export interface ListenError {
  readonly kind:
    | "address_in_use"
    | "address_not_available"
    | "permission"
    | "other";
  readonly address: string;
  readonly port: number;
  readonly message: string;
}

const KIND_BY_CODE: Readonly<Record<string, ListenError["kind"]>> = {
  EADDRINUSE: "address_in_use",
  EADDRNOTAVAIL: "address_not_available",
  EACCES: "permission",
};

const MESSAGE_BY_KIND: Readonly<Record<ListenError["kind"], string>> = {
  address_in_use: "another process uses this port",
  address_not_available: "this machine does not have that address",
  permission: "this user may not open that port",
  other: "",
};

/** Converts an error of `server.listen` to a value; returns undefined for any other error. */
export function listenErrorOf(error: unknown): ListenError | undefined {
  const failure = error as
    | Partial<NodeJS.ErrnoException> & {
      readonly address?: string;
      readonly port?: number;
    }
    | null;
  if (failure?.syscall !== "listen") return undefined;
  const kind = KIND_BY_CODE[failure.code ?? ""] ?? "other";
  return {
    kind,
    address: failure.address ?? "",
    port: failure.port ?? 0,
    message: MESSAGE_BY_KIND[kind] || String(failure.message),
  };
}

/** Describes in one line which port could not be opened and why. */
export function formatListenError(error: ListenError): string {
  const { address, port, message } = error;
  return `Cannot listen on ${address} port ${port}: ${message}`;
}
