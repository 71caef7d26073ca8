import type { Server } from "node:http";
import type { Socket } from "node:net";
import { buildConnector } from "undici";

/** Opens connections for undici. */
export type PeerConnector = buildConnector.connector;

/** Options of `PeerTransport.connector`. */
export interface ConnectorOptions {
  /**
   * Timeout for opening a connection, including the TLS handshake. A connection without TLS that is opened
   * after a failed handshake has this time again.
   */
  readonly timeoutMs: number;
}

/** State of a transport shown to operators. */
export interface PeerTransportState {
  readonly handshakes: number;
  /** Outgoing handshakes that resumed an earlier session. */
  readonly resumed: number;
  /**
   * Failed TLS handshakes, and connections and messages refused because of a key or an identity. With
   * `optional`, an outgoing handshake with a daemon without TLS does not count.
   */
  readonly refused: number;
  /** Attempts to open a connection without TLS, and accepted ones, even if their requests are refused. */
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
   * Whether the other end may send messages of this VM: it is authenticated as the VM, or the connection is
   * without TLS and TLS is not required. A refusal is counted and logged.
   */
  isAuthorizedAs(socket: Socket, vmId: string): boolean;
  /** The TCP socket beneath a connection, whose byte counts include the handshake. */
  tcpSocketOf(socket: Socket): Socket;
  /** Undefined without TLS. */
  state(): PeerTransportState | undefined;
  /** Aborts unfinished outgoing handshakes and stops reloading the files. */
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
