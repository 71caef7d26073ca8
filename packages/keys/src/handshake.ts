import type { Socket } from "node:net";
import { connect, type SecureContext, type TLSSocket } from "node:tls";
import { Result } from "true-myth";

/** Options of `callSecurely`. */
export interface CallSecurelyOptions {
  /** IP number that the answering certificate must name. */
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
  /** Whether the other end answered with something that is not TLS. */
  readonly speaksNoTls: boolean;
  readonly message: string;
}

const NO_TLS_CODES: ReadonlySet<string> = new Set([
  "ERR_SSL_WRONG_VERSION_NUMBER",
  "ERR_SSL_PACKET_LENGTH_TOO_LONG",
]);

/**
 * Carries out the caller's part of a handshake. In TLS 1.3 the caller's part ends before the other
 * end has checked the caller's certificate. A server issues its first ticket after that check, so a
 * new session counts as open only then: bytes of a request that are written earlier could be lost,
 * and its outcome would be unknown instead of not run.
 */
export function callSecurely(
  carrier: Socket,
  options: CallSecurelyOptions,
): Promise<Result<TLSSocket, HandshakeFailure>> {
  const socket = connect({
    socket: carrier,
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
      const speaksNoTls = NO_TLS_CODES.has(code);
      resolve(Result.err({ timedOut, speaksNoTls, message }));
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
    // The event comes from within OpenSSL's reading of the ticket; Node 20 loses what is written then.
    socket.once("session", () =>
      setImmediate(() => {
        if (!socket.destroyed && socket.authorized) succeed();
      }));
    socket.once("secureConnect", () => {
      if (socket.isSessionReused()) succeed();
    });
  });
}
