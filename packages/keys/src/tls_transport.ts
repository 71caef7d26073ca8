import type { Server } from "node:http";
import type { Socket } from "node:net";
import {
  createSecureContext,
  createServer as createTlsServer,
  type SecureContext,
  type Server as TlsServer,
  type TLSSocket,
} from "node:tls";
import { Result } from "true-myth";
import { logEvent, type Logger } from "@tanagercove/logs";
import { openTlsConnection } from "./handshake.ts";
import {
  type KeyFiles,
  type KeyProblem,
  type PeerKeys,
  readPeerKeys,
  vmIdsIn,
} from "./key_files.ts";
import {
  type ConnectorOptions,
  type PeerConnector,
  type PeerTransport,
  type PeerTransportState,
  plainConnector,
} from "./peer_transport.ts";
import { Refusals } from "./refusals.ts";

/** Options of `openTlsTransport`. */
export interface TlsTransportOptions {
  /**
   * `required` opens only TLS connections and refuses requests on connections without TLS. `optional` serves
   * such requests, and connects without TLS after a failed handshake, but not after a timeout.
   */
  readonly mode: "optional" | "required";
  readonly files: KeyFiles;
  readonly vmId: string;
  readonly address: string;
  /** Interval at which the files are read again. */
  readonly reloadIntervalMs: number;
  readonly log: Logger;
}

const TLS_VERSION = "TLSv1.3";
/** First byte of a TLS record that carries a handshake; no HTTP method starts with it. */
const TLS_HANDSHAKE_BYTE = 0x16;
/** Longer than callers wait for a connection, which by default is at most the 3 s of `fetch_timeout_ms`. */
const INCOMING_HANDSHAKE_TIMEOUT_MS = 5_000;
/**
 * Daemons change each digest partner about once a minute. In a zone of 200 daemons, it usually takes much
 * longer than 300 s until a former partner is chosen again. By then, its session would have expired with
 * Node's default of 300 s, and most handshakes would be full instead of resumed.
 */
const SESSION_TIMEOUT_S = 3_600;
/** Sessions of about 1 KB each. */
const MAX_SESSIONS = 1_024;
/** Time for which a daemon without TLS is called in plain text before TLS is tried again. */
const PLAIN_PEER_TTL_MS = 30_000;
const MAX_PLAIN_PEERS = 4_096;

/** Reads the key files and opens the transport with mutual TLS; the error lists all problems. */
export function openTlsTransport(
  options: TlsTransportOptions,
): Result<PeerTransport, readonly KeyProblem[]> {
  return readPeerKeys(options).map((keys) => new TlsTransport(options, keys));
}

/** Result of a connection's handshake. */
interface ConnectionInfo {
  readonly direction: "incoming" | "outgoing";
  readonly tcpSocket: Socket | undefined;
  /** The VM in the other end's certificate; undefined unless it contains exactly one. */
  readonly vmId: string | undefined;
}

/** A session that can be resumed, but only with the process that issued it. */
interface KnownSession {
  readonly session: Buffer;
  /** Kept because Node provides no peer certificate to the caller on a resumed connection. */
  readonly vmId: string | undefined;
}

class TlsTransport implements PeerTransport {
  readonly #options: TlsTransportOptions;
  readonly #refusals: Refusals;
  readonly #reloadTimer: NodeJS.Timeout;
  /** TCP sockets whose handshake has not ended, by direction. */
  readonly #incoming = new Set<Socket>();
  readonly #outgoing = new Set<Socket>();
  readonly #connections = new WeakMap<Socket, ConnectionInfo>();
  /** Sessions by `IP:PORT`, the oldest first. */
  readonly #sessions = new Map<string, KnownSession>();
  readonly #plainUntilMs = new Map<string, number>();
  #keys: PeerKeys;
  #context: SecureContext;
  #server: TlsServer | undefined;
  #reloadProblem = "";
  #handshakes = 0;
  #resumed = 0;
  #plain = 0;

  constructor(options: TlsTransportOptions, keys: PeerKeys) {
    this.#options = options;
    this.#keys = keys;
    this.#context = createSecureContext(contextOptions(keys));
    this.#refusals = new Refusals(options.log);
    this.#reloadTimer = setInterval(
      () => this.#reload(),
      options.reloadIntervalMs,
    );
    this.#reloadTimer.unref();
  }

  connector({ timeoutMs }: ConnectorOptions): PeerConnector {
    const openTcp = plainConnector(timeoutMs);
    const openPlain: PeerConnector = (target, callback) => {
      this.#plain += 1;
      openTcp(target, callback);
    };
    return (target, callback) => {
      const peer = `${target.hostname}:${target.port}`;
      if (this.#isKnownPlain(peer)) return openPlain(target, callback);
      const startedAtMs = performance.now();
      const remainingMs = () => timeoutMs - (performance.now() - startedAtMs);
      const openTls = (connect: PeerConnector) =>
        connect(target, (...[error, tcpSocket]) => {
          if (error !== null) return callback(error, null);
          const options = { peer, remainingMs: remainingMs() };
          void this.#startTls(tcpSocket, options).then((opened) => {
            if (opened.isOk) return callback(null, opened.value);
            const { message, timedOut, peerLacksTls, keysChanged } =
              opened.error;
            if (keysChanged && remainingMs() > 0) {
              return openTls(plainConnector(remainingMs()));
            }
            if (this.#options.mode === "required" || timedOut) {
              return callback(new Error(message), null);
            }
            if (peerLacksTls) this.#rememberPlain(peer);
            openPlain(target, callback);
          });
        });
      openTls(openTcp);
    };
  }

  secureServer(server: Server): () => void {
    const listeners = server.listeners("connection");
    server.removeAllListeners("connection");
    const serve = (socket: Socket) => {
      for (const listener of listeners) listener.call(server, socket);
    };
    const tls = this.#createServer(serve);
    // Mode `required` accepts connections without TLS too. `isAuthorized` then refuses each of their
    // requests, so that the sender learns that the request did not run.
    server.on(
      "connection",
      (tcpSocket: Socket) =>
        this.#detectTls(tcpSocket, (isTls) => {
          if (isTls) return tls.emit("connection", tcpSocket);
          this.#incoming.delete(tcpSocket);
          this.#plain += 1;
          serve(tcpSocket);
        }),
    );
    this.#server = tls;
    return () => destroyAll(this.#incoming);
  }

  isAuthorized(socket: Socket): boolean {
    const connection = this.#connections.get(socket);
    const authorized = connection === undefined
      ? this.#options.mode === "optional"
      : connection.vmId !== undefined;
    if (!authorized) {
      this.#refuse(
        socket,
        connection === undefined
          ? "Connection without TLS"
          : "The certificate does not name exactly one VM",
      );
    }
    return authorized;
  }

  isAuthorizedAs(socket: Socket, vmId: string): boolean {
    const connection = this.#connections.get(socket);
    if (connection === undefined) return this.#options.mode === "optional";
    if (connection.vmId === vmId) return true;
    const certifiedVmId = connection.vmId ?? "no VM";
    this.#refuse(
      socket,
      `The certificate identifies ${certifiedVmId}, but the message names ${vmId}`,
    );
    return false;
  }

  tcpSocketOf(socket: Socket): Socket {
    return this.#connections.get(socket)?.tcpSocket ?? socket;
  }

  state(): PeerTransportState {
    return {
      handshakes: this.#handshakes,
      resumed: this.#resumed,
      refused: this.#refusals.count,
      plain: this.#plain,
      certificateExpiresInS: Math.round(
        (this.#keys.validUntilMs - Date.now()) / 1_000,
      ),
    };
  }

  close(): Promise<void> {
    clearInterval(this.#reloadTimer);
    destroyAll(this.#outgoing);
    return Promise.resolve();
  }

  #refuse(socket: Socket, reason: string): void {
    this.#refusals.record({
      direction: this.#connections.get(socket)?.direction ?? "incoming",
      address: socket.remoteAddress ?? "",
      reason,
    });
  }

  async #startTls(
    tcpSocket: Socket,
    { peer, remainingMs }: {
      readonly peer: string;
      readonly remainingMs: number;
    },
  ) {
    const context = this.#context;
    const address = tcpSocket.remoteAddress ?? "";
    trackUntilClosed(tcpSocket, this.#outgoing);
    const knownSession = this.#sessions.get(peer);
    const opened = await openTlsConnection(tcpSocket, {
      address,
      context,
      session: knownSession?.session,
      timeoutMs: Math.max(1, remainingMs),
      onSession: (session, socket) => {
        if (context !== this.#context) return;
        this.#remember(peer, { session, vmId: vmIdOf(socket) });
      },
    });
    this.#outgoing.delete(tcpSocket);
    if (opened.isErr) {
      this.#sessions.delete(peer);
      const { message: reason, peerLacksTls } = opened.error;
      const keysChanged = context !== this.#context;
      const expected = keysChanged ||
        peerLacksTls && this.#options.mode === "optional";
      if (!expected) {
        this.#refusals.record({ direction: "outgoing", address, reason });
      }
      return opened.mapErr((failure) => ({ ...failure, keysChanged }));
    }
    const socket = opened.value;
    const resumed = socket.isSessionReused();
    const vmId = resumed ? knownSession?.vmId : vmIdOf(socket);
    this.#connections.set(socket, { direction: "outgoing", tcpSocket, vmId });
    this.#handshakes += 1;
    if (resumed) this.#resumed += 1;
    return opened;
  }

  #createServer(serve: (socket: Socket) => void): TlsServer {
    const server = createTlsServer({
      ...contextOptions(this.#keys),
      requestCert: true,
      rejectUnauthorized: true,
      handshakeTimeout: INCOMING_HANDSHAKE_TIMEOUT_MS,
      sessionTimeout: SESSION_TIMEOUT_S,
    });
    server.on("secureConnection", (socket) => {
      const tcpSocket = this.#findIncomingTcpSocket(socket);
      if (tcpSocket !== undefined) this.#incoming.delete(tcpSocket);
      const vmId = vmIdOf(socket);
      this.#connections.set(socket, { direction: "incoming", tcpSocket, vmId });
      this.#handshakes += 1;
      serve(socket);
    });
    server.on("tlsClientError", (error, socket) => {
      const reason = socket.authorizationError ?? error.message;
      this.#refusals.record({
        direction: "incoming",
        address: socket.remoteAddress ?? "",
        reason: String(reason),
      });
      socket.destroy();
    });
    return server;
  }

  #findIncomingTcpSocket(socket: Socket): Socket | undefined {
    for (const tcpSocket of this.#incoming) {
      const same = tcpSocket.remotePort === socket.remotePort &&
        tcpSocket.remoteAddress === socket.remoteAddress &&
        tcpSocket.localPort === socket.localPort;
      if (same) return tcpSocket;
    }
    return undefined;
  }

  /** Detects TLS by the first byte of a connection, which stays in the read buffer. */
  #detectTls(tcpSocket: Socket, decide: (isTls: boolean) => void): void {
    trackUntilClosed(tcpSocket, this.#incoming);
    const timer = setTimeout(
      () => tcpSocket.destroy(),
      INCOMING_HANDSHAKE_TIMEOUT_MS,
    );
    tcpSocket.once("close", () => clearTimeout(timer));
    const checkFirstByte = () => {
      const first = tcpSocket.read(1) as Buffer | null;
      if (first === null) return;
      tcpSocket.off("readable", checkFirstByte);
      clearTimeout(timer);
      tcpSocket.unshift(first);
      decide(first[0] === TLS_HANDSHAKE_BYTE);
    };
    tcpSocket.on("readable", checkFirstByte);
  }

  #remember(peer: string, session: KnownSession): void {
    this.#sessions.delete(peer);
    this.#sessions.set(peer, session);
    dropOldest(this.#sessions, MAX_SESSIONS);
  }

  #rememberPlain(peer: string): void {
    this.#plainUntilMs.delete(peer);
    this.#plainUntilMs.set(peer, performance.now() + PLAIN_PEER_TTL_MS);
    dropOldest(this.#plainUntilMs, MAX_PLAIN_PEERS);
  }

  #isKnownPlain(peer: string): boolean {
    return (this.#plainUntilMs.get(peer) ?? 0) > performance.now();
  }

  /** Reloads files that changed. Invalid or partly replaced files are reported and not used. */
  #reload(): void {
    const read = readPeerKeys(this.#options);
    if (read.isErr) return this.#reportProblem(describeProblems(read.error));
    this.#reloadProblem = "";
    const keys = read.value;
    const unchanged = keys.ca === this.#keys.ca &&
      keys.key === this.#keys.key &&
      keys.certificate === this.#keys.certificate;
    if (unchanged) return;
    this.#context = createSecureContext(contextOptions(keys));
    // A new context has new ticket keys, so sessions authenticated with old keys are not resumed.
    this.#server?.setSecureContext(contextOptions(keys));
    this.#sessions.clear();
    this.#plainUntilMs.clear();
    this.#keys = keys;
    logEvent(this.#options.log, {
      event: "peer_keys_taken",
      valid_until: new Date(keys.validUntilMs).toISOString(),
    });
  }

  #reportProblem(reason: string): void {
    if (reason === this.#reloadProblem) return;
    this.#reloadProblem = reason;
    logEvent(this.#options.log, { event: "peer_keys_refused", reason });
  }
}

function contextOptions({ ca, certificate, key }: PeerKeys) {
  return { ca, cert: certificate, key, minVersion: TLS_VERSION } as const;
}

/** Returns the VM in the other end's certificate, or undefined unless it contains exactly one. */
function vmIdOf(socket: TLSSocket): string | undefined {
  const ids = vmIdsIn(socket.getPeerCertificate().subjectaltname);
  return ids.length === 1 ? ids[0] : undefined;
}

function describeProblems(problems: readonly KeyProblem[]): string {
  return problems.map(({ file, message }) => `${file}: ${message}`).join("; ");
}

function destroyAll(sockets: ReadonlySet<Socket>): void {
  for (const socket of sockets) socket.destroy();
}

/** Keeps a socket in a set until it closes or is removed; errors of the socket are ignored. */
function trackUntilClosed(socket: Socket, pending: Set<Socket>): void {
  pending.add(socket);
  socket.on("error", () => {});
  socket.once("close", () => pending.delete(socket));
}

function dropOldest<K>(map: Map<K, unknown>, max: number): void {
  for (const key of map.keys()) {
    if (map.size <= max) return;
    map.delete(key);
  }
}
