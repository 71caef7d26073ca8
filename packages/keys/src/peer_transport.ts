import type { Server } from "node:http";
import type { Socket } from "node:net";
import { buildConnector } from "undici";

/** Opens connections for undici. */
export type PeerConnector = buildConnector.connector;

/** Options of `PeerTransport.connector`. */
export interface ConnectorOptions {
  /** Time until a connection can be used, a handshake included. */
  readonly timeoutMs: number;
}

/** Figures of a transport for operators. */
export interface PeerTransportState {
  readonly handshakes: number;
  /** Handshakes that reused an earlier session; counted where they are called. */
  readonly resumed: number;
  /** Connections and messages that were refused because of a key or an identity. */
  readonly refused: number;
  /** Connections without TLS that were opened or accepted with `optional`. */
  readonly plain: number;
  readonly certificateExpiresInS: number;
}

/** How daemons connect to each other and prove which VM they are. */
export interface PeerTransport {
  connector(options: ConnectorOptions): PeerConnector;
  /**
   * Takes over the connections of a peer port's server; call it before the server listens. The
   * function it returns drops the incoming connections whose handshake has not ended.
   */
  secureServer(server: Server): () => void;
  /** Whether the other end may use the peer port; a refusal is counted and logged. */
  isAuthorized(socket: Socket): boolean;
  /** Whether the other end may speak for a VM; a refusal is counted and logged. */
  isAuthorizedAs(socket: Socket, vmId: string): boolean;
  /** The TCP socket beneath a connection, whose byte counts include the handshake. */
  tcpSocketOf(socket: Socket): Socket;
  /** Undefined without TLS. */
  state(): PeerTransportState | undefined;
  /** Ends unfinished outgoing handshakes and the reading of files. */
  close(): Promise<void>;
}

/** Creates the transport without TLS, which believes every sender. */
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
