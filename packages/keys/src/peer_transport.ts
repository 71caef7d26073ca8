import type { Server } from "node:http";
import type { Socket } from "node:net";
import { buildConnector } from "undici";

/** Opens connections for undici. */
export type PeerConnector = buildConnector.connector;

/** Options of `PeerTransport.connector`. */
export interface ConnectorOptions {
  /**
   * Timeout for opening a connection, including the TLS handshake. After a failed
   * handshake, an attempt without TLS has this time again.
   */
  readonly timeoutMs: number;
}

/** State of a transport shown to operators. */
export interface PeerTransportState {
  readonly handshakes: number;
  /** Outgoing handshakes that resumed an earlier session. */
  readonly resumed: number;
  /**
   * Failed TLS handshakes, and connections and messages refused because of a key or an identity. In
   * mode `optional`, an outgoing handshake with a daemon without TLS does not count.
   */
  readonly refused: number;
  /** Connections without TLS: attempts to open one, and accepted ones even if their requests are refused. */
  readonly plain: number;
  readonly certificateExpiresInS: number;
}

/** Connects daemons to each other and authenticates the VMs that they run on. */
export interface PeerTransport {
  connector(options: ConnectorOptions): PeerConnector;
  /**
   * Handles the handshakes of a peer port's server; call it before the server listens. The returned
   * function closes the incoming connections whose handshake has not ended.
   */
  secureServer(server: Server): () => void;
  /** Whether the other end may use the peer port; a refusal is counted and logged. */
  isAuthorized(socket: Socket): boolean;
  /**
   * Whether the other end may send messages of the VM `vmId`: it is authenticated as that VM, or TLS is
   * neither used nor required. A refusal on a TLS connection is counted and logged.
   */
  isAuthorizedAs(socket: Socket, vmId: string): boolean;
  /** The TCP socket beneath a connection, whose byte counts include the handshake. */
  tcpSocketOf(socket: Socket): Socket;
  /** Undefined without TLS. */
  state(): PeerTransportState | undefined;
  /** Aborts unfinished outgoing handshakes and stops reloading the key files. */
  close(): Promise<void>;
}

/** Creates the transport without TLS, which authorizes every sender. */
export function createPlainTransport(): PeerTransport {
  return {
    connector: ({ timeoutMs }) => plainConnector(timeoutMs),
    secureServer: () => () => {},
    isAuthorized: () => true,
    isAuthorizedAs: () => true,
    tcpSocketOf: (socket) => socket,
    state: () => undefined,
    close: () => Promise.resolve(),
  };
}

/** Creates undici's connector for TCP. */
export function plainConnector(timeoutMs: number): PeerConnector {
  return buildConnector(
    { timeout: timeoutMs } as buildConnector.BuildOptions,
  );
}
