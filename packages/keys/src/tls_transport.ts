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
import { callSecurely } from "./handshake.ts";
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
  /** Whether connections without TLS are refused, or accepted and tried where TLS fails. */
  readonly mode: "optional" | "required";
  readonly files: KeyFiles;
  readonly vmId: string;
  readonly address: string;
  /** Time between two readings of the files. */
  readonly reloadIntervalMs: number;
  readonly log: Logger;
}

const TLS_VERSION = "TLSv1.3";
/** First byte of a TLS record that carries a handshake; no HTTP method starts with it. */
const TLS_HANDSHAKE_BYTE = 0x16;
/** Above the time that any caller waits for a connection. */
const INCOMING_HANDSHAKE_TIMEOUT_MS = 5_000;
/**
 * A digest goes to a random daemon of the zone each second, so a daemon of a zone of 200 meets the
 * same one every few minutes; Node's 300 s would make most of these handshakes full ones.
 */
const SESSION_TIMEOUT_S = 3_600;
/** Sessions of about 1 KB each. */
const MAX_SESSIONS = 1_024;
/** Time in which a daemon that speaks no TLS is called without trying it again. */
const PLAIN_MEMORY_MS = 30_000;
const MAX_PLAIN_PEERS = 4_096;

/** Reads the key files and opens the transport with mutual TLS; the error lists all problems. */
export function openTlsTransport(
  options: TlsTransportOptions,
): Result<PeerTransport, readonly KeyProblem[]> {
  return readPeerKeys(options).map((keys) => new TlsTransport(options, keys));
}

/** What is known of a connection after its handshake. */
interface Link {
  readonly direction: "incoming" | "outgoing";
  readonly carrier: Socket | undefined;
  /** The one VM that the other end's certificate names. */
  readonly vmId: string | undefined;
}

/** A session that can be resumed, which only the process that issued it can accept. */
interface KnownSession {
  readonly session: Buffer;
  /** Node gives a caller no certificate on a resumed connection. */
  readonly vmId: string | undefined;
}

class TlsTransport implements PeerTransport {
  readonly #options: TlsTransportOptions;
  readonly #refusals: Refusals;
  readonly #reloadTimer: NodeJS.Timeout;
  /** TCP sockets whose handshake has not ended. */
  readonly #incoming = new Set<Socket>();
  readonly #outgoing = new Set<Socket>();
  readonly #links = new WeakMap<Socket, Link>();
  /** By `IP:PORT`, the oldest first. */
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
      openTcp(target, (...[error, carrier]) => {
        if (error !== null) return callback(error, null);
        const leftMs = timeoutMs - (performance.now() - startedAtMs);
        void this.#secure(carrier, { peer, leftMs }).then((opened) => {
          if (opened.isOk) return callback(null, opened.value);
          const { message, timedOut, speaksNoTls } = opened.error;
          if (this.#options.mode === "required" || timedOut) {
            return callback(new Error(message), null);
          }
          if (speaksNoTls) this.#rememberPlain(peer);
          openPlain(target, callback);
        });
      });
    };
  }

  secureServer(server: Server): () => void {
    const listeners = server.listeners("connection");
    server.removeAllListeners("connection");
    const serve = (socket: Socket) => {
      for (const listener of listeners) listener.call(server, socket);
    };
    const tls = this.#createServer(serve);
    // Connections without TLS are served with `required` too: `admits` then refuses each of their
    // requests, so that the sender learns that it did not run.
    server.on(
      "connection",
      (carrier: Socket) =>
        this.#sniff(carrier, (isTls) => {
          if (isTls) return tls.emit("connection", carrier);
          this.#incoming.delete(carrier);
          this.#plain += 1;
          serve(carrier);
        }),
    );
    this.#server = tls;
    return () => dropAll(this.#incoming);
  }

  isAuthorized(socket: Socket): boolean {
    const link = this.#links.get(socket);
    const admitted = link === undefined
      ? this.#options.mode === "optional"
      : link.vmId !== undefined;
    if (!admitted) {
      this.#refuse(
        socket,
        link === undefined
          ? "Connection without TLS"
          : "The certificate does not name one VM",
      );
    }
    return admitted;
  }

  isAuthorizedAs(socket: Socket, vmId: string): boolean {
    const link = this.#links.get(socket);
    if (link === undefined) return this.#options.mode === "optional";
    if (link.vmId === vmId) return true;
    const proved = link.vmId ?? "no VM";
    this.#refuse(
      socket,
      `The certificate is that of ${proved}, the message names ${vmId}`,
    );
    return false;
  }

  tcpSocketOf(socket: Socket): Socket {
    return this.#links.get(socket)?.carrier ?? socket;
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
    dropAll(this.#outgoing);
    return Promise.resolve();
  }

  #refuse(socket: Socket, reason: string): void {
    this.#refusals.record({
      direction: this.#links.get(socket)?.direction ?? "incoming",
      address: socket.remoteAddress ?? "",
      reason,
    });
  }

  async #secure(
    carrier: Socket,
    { peer, leftMs }: { readonly peer: string; readonly leftMs: number },
  ) {
    const context = this.#context;
    const address = carrier.remoteAddress ?? "";
    hold(carrier, this.#outgoing);
    const known = this.#sessions.get(peer);
    const opened = await callSecurely(carrier, {
      address,
      context,
      session: known?.session,
      timeoutMs: Math.max(1, leftMs),
      onSession: (session, socket) => {
        if (context !== this.#context) return;
        this.#remember(peer, { session, vmId: vmIdOf(socket) });
      },
    });
    this.#outgoing.delete(carrier);
    if (opened.isErr) {
      this.#sessions.delete(peer);
      const { message: reason, speaksNoTls } = opened.error;
      const expected = speaksNoTls && this.#options.mode === "optional";
      if (!expected) {
        this.#refusals.record({ direction: "outgoing", address, reason });
      }
      return opened;
    }
    const socket = opened.value;
    const resumed = socket.isSessionReused();
    const vmId = resumed ? known?.vmId : vmIdOf(socket);
    this.#links.set(socket, { direction: "outgoing", carrier, vmId });
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
      const carrier = this.#carrierOfIncoming(socket);
      if (carrier !== undefined) this.#incoming.delete(carrier);
      const vmId = vmIdOf(socket);
      this.#links.set(socket, { direction: "incoming", carrier, vmId });
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

  #carrierOfIncoming(socket: Socket): Socket | undefined {
    for (const carrier of this.#incoming) {
      const same = carrier.remotePort === socket.remotePort &&
        carrier.remoteAddress === socket.remoteAddress &&
        carrier.localPort === socket.localPort;
      if (same) return carrier;
    }
    return undefined;
  }

  /** Looks at the first byte of a connection and leaves it in place. */
  #sniff(carrier: Socket, decide: (isTls: boolean) => void): void {
    hold(carrier, this.#incoming);
    const timer = setTimeout(
      () => carrier.destroy(),
      INCOMING_HANDSHAKE_TIMEOUT_MS,
    );
    carrier.once("close", () => clearTimeout(timer));
    const look = () => {
      const first = carrier.read(1) as Buffer | null;
      if (first === null) return;
      carrier.off("readable", look);
      clearTimeout(timer);
      carrier.unshift(first);
      decide(first[0] === TLS_HANDSHAKE_BYTE);
    };
    carrier.on("readable", look);
  }

  #remember(peer: string, session: KnownSession): void {
    this.#sessions.delete(peer);
    this.#sessions.set(peer, session);
    dropOldest(this.#sessions, MAX_SESSIONS);
  }

  #rememberPlain(peer: string): void {
    this.#plainUntilMs.delete(peer);
    this.#plainUntilMs.set(peer, performance.now() + PLAIN_MEMORY_MS);
    dropOldest(this.#plainUntilMs, MAX_PLAIN_PEERS);
  }

  #isKnownPlain(peer: string): boolean {
    return (this.#plainUntilMs.get(peer) ?? 0) > performance.now();
  }

  /** Takes files that changed. Files that are wrong, or half replaced, change nothing. */
  #reload(): void {
    const read = readPeerKeys(this.#options);
    if (read.isErr) return this.#reportProblem(describe(read.error));
    this.#reloadProblem = "";
    const keys = read.value;
    const same = keys.ca === this.#keys.ca && keys.key === this.#keys.key &&
      keys.certificate === this.#keys.certificate;
    if (same) return;
    this.#context = createSecureContext(contextOptions(keys));
    // A new context has new ticket keys, so sessions that old keys proved are not resumed.
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

/** The one VM that the other end's certificate names. */
function vmIdOf(socket: TLSSocket): string | undefined {
  const ids = vmIdsIn(socket.getPeerCertificate().subjectaltname);
  return ids.length === 1 ? ids[0] : undefined;
}

function describe(problems: readonly KeyProblem[]): string {
  return problems.map(({ file, message }) => `${file}: ${message}`).join("; ");
}

function dropAll(sockets: ReadonlySet<Socket>): void {
  for (const socket of sockets) socket.destroy();
}

/** Keeps a socket in a set until it closes or is taken out. */
function hold(socket: Socket, pending: Set<Socket>): void {
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
