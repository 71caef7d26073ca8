import type { Socket } from "node:net";
import { connect, type SecureContext, type TLSSocket } from "node:tls";
import { Result } from "true-myth";

/** Options of `openTlsConnection`. */
export interface OpenTlsConnectionOptions {
  /** IP address that the certificate of the other end must contain. */
  readonly address: string;
  readonly context: SecureContext;
  /** Session of an earlier connection to the same daemon. */
  readonly session: Buffer | undefined;
  readonly onSession: (session: Buffer, socket: TLSSocket) => void;
  readonly timeoutMs: number;
}

/** Why a handshake failed. */
export interface HandshakeFailure {
  readonly timedOut: boolean;
  /** Whether the other end responded with something other than TLS. */
  readonly peerLacksTls: boolean;
  readonly message: string;
}

const PLAIN_PEER_ERROR_CODES: ReadonlySet<string> = new Set([
  "ERR_SSL_WRONG_VERSION_NUMBER",
  "ERR_SSL_PACKET_LENGTH_TOO_LONG",
]);

/**
 * Carries out the caller's part of a handshake. In TLS 1.3 this part ends before the other end has
 * checked the caller's certificate. The server issues its first session ticket after that check, so the
 * connection counts as open once a ticket arrives. A request written earlier could be lost, and its outcome
 * would be unknown instead of not run. A resumed session was checked when it began, so its connection is open as
 * soon as the caller's part ends.
 */
export function openTlsConnection(
  tcpSocket: Socket,
  options: OpenTlsConnectionOptions,
): Promise<Result<TLSSocket, HandshakeFailure>> {
  const socket = connect({
    socket: tcpSocket,
    host: options.address,
    secureContext: options.context,
    session: options.session,
  });
  return new Promise((resolve) => {
    let timedOut = false;
    const timer = setTimeout(() => {
      timedOut = true;
      socket.destroy();
    }, options.timeoutMs);
    const fail = (message: string, code = "") => {
      clearTimeout(timer);
      socket.destroy();
      const peerLacksTls = PLAIN_PEER_ERROR_CODES.has(code);
      resolve(Result.err({ timedOut, peerLacksTls, message }));
    };
    const succeed = () => {
      clearTimeout(timer);
      socket.off("error", onError);
      socket.off("close", onClose);
      resolve(Result.ok(socket));
    };
    const onError = (error: NodeJS.ErrnoException) =>
      fail(error.message, error.code);
    const onClose = () =>
      fail(timedOut ? "Handshake timed out" : "Closed during the handshake");
    socket.on("error", onError);
    socket.on("close", onClose);
    socket.on("session", (session) => options.onSession(session, socket));
    // The event is emitted while OpenSSL reads the ticket; Node 20 loses data that is written then.
    socket.once("session", () =>
      setImmediate(() => {
        if (!socket.destroyed && socket.authorized) succeed();
      }));
    socket.once("secureConnect", () => {
      if (socket.isSessionReused()) succeed();
    });
  });
}
