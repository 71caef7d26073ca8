import { connect } from "node:net";
import type { Endpoint } from "@tanagercove/types";
import {
  ChannelConnection,
  CHECK_INTERVAL_MS,
  type SignalKind,
} from "./channel_connection.ts";
import type {
  BodyMemory,
  ChannelMessage,
  ChannelProblem,
} from "./channel_message.ts";

/** Why an exchange ended without an answer. */
export type ChannelFailure =
  /** The other daemon does not listen on this port. */
  | "connect_refused"
  | "connect_failed"
  /** The other daemon cannot read a head of this size or with as many texts. */
  | "head_too_large"
  | "cut"
  | "too_large"
  | "deadline"
  | "cancelled";

/** Outcome of an exchange. */
export type ChannelEnd =
  | { readonly kind: "answered"; readonly message: ChannelMessage }
  | {
    readonly kind: "failed";
    readonly failure: ChannelFailure;
    /** Whether bytes of the request may have been sent. */
    readonly mayHaveBeenSent: boolean;
  };

/** An exchange in flight. */
export interface ChannelExchange {
  readonly ended: Promise<ChannelEnd>;
  cancel(): void;
}

/** Options of `ChannelClient.send`. */
export interface ChannelSendOptions {
  readonly destination: Endpoint;
  readonly message: ChannelMessage;
  readonly timeoutMs: number;
  /** Whether the request may be sent more than once, so that a connection may be used without asking whether it works. */
  readonly isIdempotent: boolean;
  /** Called repeatedly until the other daemon says that the request has arrived. */
  readonly onSilent: (silentMs: number) => void;
}

/** Options of `ChannelClient`. */
export interface ChannelClientOptions {
  readonly localAddress: string;
  readonly maxBodyBytes: number;
  readonly memory: BodyMemory;
  /** Called when a connection is closed because the other end did not keep to the protocol. */
  readonly onProblem: (
    problem: {
      readonly destination: Endpoint;
      readonly problem: ChannelProblem;
    },
  ) => void;
}

/** Another VM in the same region accepts a connection within milliseconds; one that takes longer is unreachable. */
const CONNECT_TIMEOUT_MS = 300;

/**
 * Idle time from which a connection is asked for a sign of life before a request is sent on it: an idle connection may
 * have been dropped without any sign. A request that must not be repeated is lost then, an idempotent one is only late.
 */
const VERIFY_IDLE_MS = 300;
const VERIFY_IDEMPOTENT_IDLE_MS = 3_000;

/** Time for the sign of life, after which a new connection is opened. */
const VERIFY_TIMEOUT_MS = 100;

/** Interval of `onSilent` calls. The other daemon says within 120 ms that a request has arrived. */
const SILENT_INTERVAL_MS = 450;

/** Idle time after which a connection is closed; most pairs of daemons of a large fleet have one request in 4 to 20 s. */
const MAX_IDLE_MS = 30_000;

/** Limit on exchanges in flight on one connection. */
export const MAX_EXCHANGES = 1_024;

interface PendingExchange {
  readonly options: ChannelSendOptions;
  readonly startedMs: number;
  readonly settle: (end: ChannelEnd) => void;
  link: Link | undefined;
  exchangeId: number;
  /** When the request was sent; undefined before that. */
  sentMs: number | undefined;
  isSettled: boolean;
  deadlineTimer: NodeJS.Timeout | undefined;
  silenceTimer: NodeJS.Timeout | undefined;
}

/** A connection with the exchanges that use it. */
interface Link {
  readonly connection: ChannelConnection;
  readonly destination: Endpoint;
  readonly exchanges: Map<number, PendingExchange>;
  /** Exchanges that wait until the connection is open or has shown that it works. */
  waiting: PendingExchange[];
  nextId: number;
  isOpen: boolean;
  isVerifying: boolean;
  wasRefused: boolean;
  timer: NodeJS.Timeout | undefined;
  idleTimer: NodeJS.Timeout | undefined;
}

/** Sends requests to other daemons, many at once over one connection to each. */
export class ChannelClient {
  readonly #options: ChannelClientOptions;
  /** The connection for new requests to each daemon; others only end their exchanges. */
  readonly #current = new Map<string, Link>();
  readonly #links = new Set<Link>();
  /** One timer for all connections, as a daemon of a large fleet has hundreds. */
  readonly #checkTimer = setInterval(() => {
    for (const { connection } of this.#links) connection.closeStuck();
  }, CHECK_INTERVAL_MS);
  #opened = 0;
  #isClosed = false;

  constructor(options: ChannelClientOptions) {
    this.#options = options;
  }

  /** Connections opened so far. */
  get opened(): number {
    return this.#opened;
  }

  /** Sends a request with a deadline. */
  send(options: ChannelSendOptions): ChannelExchange {
    let settle!: (end: ChannelEnd) => void;
    const ended = new Promise<ChannelEnd>((resolve) => settle = resolve);
    const exchange: PendingExchange = {
      options,
      startedMs: performance.now(),
      settle,
      link: undefined,
      exchangeId: 0,
      sentMs: undefined,
      isSettled: false,
      deadlineTimer: undefined,
      silenceTimer: undefined,
    };
    exchange.deadlineTimer = setTimeout(
      () => this.#fail(exchange, "deadline"),
      Math.max(0, options.timeoutMs),
    );
    exchange.silenceTimer = setInterval(
      () => this.#handleSilence(exchange),
      SILENT_INTERVAL_MS,
    );
    if (this.#isClosed) this.#fail(exchange, "connect_failed");
    else this.#place(exchange);
    return { ended, cancel: () => this.#fail(exchange, "cancelled") };
  }

  /** Closes all connections; exchanges in flight fail. */
  close(): void {
    this.#isClosed = true;
    clearInterval(this.#checkTimer);
    for (const link of this.#links) link.connection.reset();
  }

  /** Puts an exchange on the current connection to its daemon, or on a new one. */
  #place(exchange: PendingExchange): void {
    const { destination, isIdempotent } = exchange.options;
    const link = this.#linkTo(destination);
    exchange.link = link;
    clearTimeout(link.idleTimer);
    if (!link.isOpen || link.isVerifying) {
      link.waiting.push(exchange);
      return;
    }
    const idleMs = performance.now() - link.connection.lastReceivedMs;
    const maxIdleMs = isIdempotent ? VERIFY_IDEMPOTENT_IDLE_MS : VERIFY_IDLE_MS;
    if (idleMs < maxIdleMs) return this.#transmit(link, exchange);
    link.waiting.push(exchange);
    link.isVerifying = true;
    link.connection.sendSignal("ping");
    link.timer = setTimeout(() => this.#replace(link), VERIFY_TIMEOUT_MS);
  }

  #linkTo(destination: Endpoint): Link {
    const key = `${destination.address}:${destination.port}`;
    const current = this.#current.get(key);
    if (current !== undefined && current.exchanges.size < MAX_EXCHANGES) {
      return current;
    }
    const link = this.#open(destination);
    this.#current.set(key, link);
    return link;
  }

  #open(destination: Endpoint): Link {
    this.#opened += 1;
    const { localAddress, maxBodyBytes, memory } = this.#options;
    const socket = connect({
      host: destination.address,
      port: destination.port,
      localAddress,
    });
    const link: Link = {
      connection: new ChannelConnection({
        socket,
        maxBodyBytes,
        memory,
        handlers: {
          onOpen: () => this.#handleOpen(link),
          onMessage: (exchangeId, { kind, message, reservation }) => {
            // From here on, whoever passes the answer on counts it.
            reservation.close();
            if (kind !== "answer") return;
            this.#settle(link.exchanges.get(exchangeId), {
              kind: "answered",
              message,
            });
          },
          onBodyRefused: (exchangeId) => {
            const exchange = link.exchanges.get(exchangeId);
            if (exchange !== undefined) this.#fail(exchange, "too_large");
          },
          onSignal: (kind, exchangeId) =>
            this.#handleSignal(link, { kind, exchangeId }),
          onRead: () => this.#handleRead(link),
          onClosed: (problem) => this.#handleClosed(link, problem),
        },
      }),
      destination,
      exchanges: new Map(),
      waiting: [],
      nextId: 1,
      isOpen: false,
      isVerifying: false,
      wasRefused: false,
      timer: setTimeout(() => link.connection.reset(), CONNECT_TIMEOUT_MS),
      idleTimer: undefined,
    };
    socket.once("error", (error: NodeJS.ErrnoException) => {
      link.wasRefused = error.code === "ECONNREFUSED";
    });
    this.#links.add(link);
    return link;
  }

  #handleOpen(link: Link): void {
    clearTimeout(link.timer);
    link.isOpen = true;
    this.#transmitWaiting(link);
  }

  /** Whatever arrives shows that the connection works. */
  #handleRead(link: Link): void {
    if (!link.isVerifying) return;
    clearTimeout(link.timer);
    link.isVerifying = false;
    this.#transmitWaiting(link);
  }

  #handleSignal(
    link: Link,
    { kind, exchangeId }: {
      readonly kind: SignalKind;
      readonly exchangeId: number;
    },
  ): void {
    if (kind === "alive") {
      clearInterval(link.exchanges.get(exchangeId)?.silenceTimer);
    }
    if (kind === "leaving") this.#retire(link);
    if (kind !== "cancel") return;
    const exchange = link.exchanges.get(exchangeId);
    if (exchange !== undefined) this.#fail(exchange, "cut");
  }

  #transmitWaiting(link: Link): void {
    for (const exchange of link.waiting.splice(0)) {
      if (!exchange.isSettled) this.#transmit(link, exchange);
    }
    this.#closeIfUnused(link);
  }

  #transmit(link: Link, exchange: PendingExchange): void {
    const { message } = exchange.options;
    if (!link.connection.canSend(message.head)) {
      return this.#fail(exchange, "head_too_large");
    }
    exchange.exchangeId = link.nextId;
    link.nextId += 1;
    exchange.sentMs = performance.now();
    link.exchanges.set(exchange.exchangeId, exchange);
    link.connection.sendMessage(exchange.exchangeId, {
      kind: "request",
      message,
    });
  }

  /** Uses no new requests on a connection; it is closed when its exchanges have ended. */
  #retire(link: Link): void {
    const { address, port } = link.destination;
    const key = `${address}:${port}`;
    if (this.#current.get(key) === link) this.#current.delete(key);
    this.#closeIfUnused(link);
  }

  /** Opens another connection for the requests that wait for one that does not answer. */
  #replace(link: Link): void {
    const waiting = link.waiting.splice(0);
    this.#retire(link);
    for (const exchange of waiting) {
      if (!exchange.isSettled) this.#place(exchange);
    }
  }

  #handleSilence(exchange: PendingExchange): void {
    const { link, startedMs, sentMs } = exchange;
    if (
      link !== undefined && sentMs !== undefined &&
      link.connection.lastReceivedMs <= sentMs
    ) this.#retire(link);
    exchange.options.onSilent(performance.now() - startedMs);
  }

  #closeIfUnused(link: Link): void {
    if (link.exchanges.size > 0 || link.waiting.length > 0) return;
    const { address, port } = link.destination;
    clearTimeout(link.idleTimer);
    if (this.#current.get(`${address}:${port}`) !== link) {
      // Without a reset, bytes that a broken path holds up would be delivered after it is mended.
      return link.connection.reset();
    }
    link.idleTimer = setTimeout(() => this.#retire(link), MAX_IDLE_MS);
  }

  #handleClosed(link: Link, problem: ChannelProblem | undefined): void {
    clearTimeout(link.timer);
    clearTimeout(link.idleTimer);
    this.#links.delete(link);
    const waiting = link.waiting.splice(0);
    const sent = [...link.exchanges.values()];
    this.#retire(link);
    const failure = link.wasRefused ? "connect_refused" : "connect_failed";
    for (const exchange of waiting) this.#fail(exchange, failure);
    for (const exchange of sent) this.#fail(exchange, "cut");
    if (problem === undefined) return;
    this.#options.onProblem({ destination: link.destination, problem });
  }

  #fail(exchange: PendingExchange, failure: ChannelFailure): void {
    if (exchange.isSettled) return;
    const { link, sentMs, exchangeId } = exchange;
    const wasBegun = link !== undefined && sentMs !== undefined;
    if (wasBegun && failure !== "cut") {
      link.connection.sendSignal("cancel", exchangeId);
    }
    // The other daemon starts no request before its body is there.
    const mayHaveBeenSent = wasBegun &&
      !link.connection.isPartlySent(exchangeId);
    this.#settle(exchange, { kind: "failed", failure, mayHaveBeenSent });
  }

  #settle(exchange: PendingExchange | undefined, end: ChannelEnd): void {
    if (exchange === undefined || exchange.isSettled) return;
    exchange.isSettled = true;
    clearTimeout(exchange.deadlineTimer);
    clearInterval(exchange.silenceTimer);
    const { link } = exchange;
    if (link !== undefined) {
      link.exchanges.delete(exchange.exchangeId);
      if (link.waiting.length > 0) {
        link.waiting = link.waiting.filter((other) => other !== exchange);
      }
      link.connection.forget(exchange.exchangeId);
      if (!link.connection.isClosed) this.#closeIfUnused(link);
    }
    exchange.settle(end);
  }
}
