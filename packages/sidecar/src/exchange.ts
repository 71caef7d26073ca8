import {
  type Agent,
  type IncomingMessage,
  request as createRequest,
} from "node:http";
import type { Socket } from "node:net";
import type { Endpoint } from "@tanagercove/types";
import { ALL_FIELDS, bodyFraming } from "@tanagercove/headers";
import type { AnswerMemory, ReceivedAnswer } from "@tanagercove/memory";
import { BodyBuffer } from "./body_buffer.ts";
import type { UnknownReason } from "./forwarding.ts";
import { UPSTREAM_MAX_HEAD_BYTES } from "./header_limits.ts";
import { isParserError } from "./parser_errors.ts";

/** Why an exchange ended without a complete answer. */
export type ExchangeFailure =
  | "connect_failed"
  | "cut"
  | "too_large"
  | "malformed"
  | "deadline"
  | "cancelled";

/** A connection as used by one exchange. */
export interface ConnectionUse {
  /** Port of this end, which the other end sees too. */
  readonly localPort: number;
  /** Number of the exchange on the connection, from 1. */
  readonly exchange: number;
  /** Time of the monotonic clock at which the connection was opened. */
  readonly openedAtMs: number;
}

/** Outcome of one request on one connection. */
export type ExchangeEnd =
  | {
    readonly kind: "answered";
    readonly status: number;
    /** Alternating names and values, as received. */
    readonly rawHeaders: readonly string[];
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly body: Buffer;
    readonly durationMs: number;
    readonly connection?: ConnectionUse;
  }
  | {
    readonly kind: "failed";
    readonly failure: ExchangeFailure;
    /** Whether bytes of the request may have been sent. */
    readonly mayHaveBeenSent: boolean;
    readonly durationMs: number;
    /** The connection on which bytes may have been sent. */
    readonly connection?: ConnectionUse;
  };

/** Status and header fields of an answer; the names of fields are in lower case. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}

/** One request to the next hop. */
export interface ExchangeOptions {
  readonly agent: Agent;
  readonly destination: Endpoint;
  readonly localAddress: string;
  readonly method: string;
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer | undefined;
  readonly timeoutMs: number;
  /** Time within which a new connection must be open. */
  readonly connectTimeoutMs: number;
  readonly maxAnswerBytes: number;
  /** Memory that this answer shares with the others of the process; it may end the exchange as `too_large`. */
  readonly answerMemory?: AnswerMemory;
  /** Limit on the bytes that arrive before the end of the answer's head, with all interim answers. */
  readonly maxHeadBytes?: number;
  /**
   * Whether an answer with this head can be used. If not, the exchange ends with the failure `malformed` before the body
   * is read, which may have no end. All heads are accepted by default.
   */
  readonly acceptsHead?: (head: AnswerHead) => boolean;
  /** Whether the connection is closed after an answer with this head. By default, it is kept if the server keeps it. */
  readonly closesAfter?: (head: AnswerHead, socket: Socket) => boolean;
  /** Called when the request is given to an open connection. */
  readonly onSent?: (connection: ConnectionUse) => void;
  /** Called every `silentIntervalMs` until the server responds, even if only with an interim answer. */
  readonly onSilent?: (silentMs: number) => void;
  readonly silentIntervalMs?: number;
}

/** An exchange in flight. */
export interface Exchange {
  readonly ended: Promise<ExchangeEnd>;
  /** Ends the exchange and closes its connection. */
  cancel(): void;
}

/**
 * Share of a body that the framing of its chunks may take beyond the slack. Below about 48 bytes, chunks cost so much
 * processor time that an answer without end would not reach the limit on its size before its deadline.
 */
const MAX_FRAMING_SHARE = 1 / 8;

/** Framing that any answer may have; more than one read of a socket, by which the size of the body may lag behind. */
const FRAMING_SLACK_BYTES = 64 * 1024;

/** Last use of each open connection. */
const lastUses = new WeakMap<Socket, ConnectionUse>();

function useConnection(socket: Socket): ConnectionUse {
  const last = lastUses.get(socket);
  const use = {
    localPort: socket.localPort ?? 0,
    exchange: (last?.exchange ?? 0) + 1,
    openedAtMs: last?.openedAtMs ?? performance.now(),
  };
  lastUses.set(socket, use);
  return use;
}

/** Sends one request with a deadline; the answer is buffered until it is complete. */
export function startExchange(options: ExchangeOptions): Exchange {
  const { maxHeadBytes = UPSTREAM_MAX_HEAD_BYTES } = options;
  const startedMs = performance.now();
  /** Set before the first byte of the request is given to the connection. */
  let connection: ConnectionUse | undefined;
  let isSettled = false;
  let hasHead = false;
  let receivedBytes = 0;
  let body: BodyBuffer | undefined;
  let received: ReceivedAnswer | undefined;
  let wasReset = false;
  let resolveEnded!: (end: ExchangeEnd) => void;
  const ended = new Promise<ExchangeEnd>((resolve) => resolveEnded = resolve);

  /**
   * Node reports a reset that arrives together with the last bytes as an orderly
   * end. After a reset, the operating system no longer knows the remote address.
   */
  function detectReset(this: Socket): void {
    wasReset = this.remoteAddress === undefined;
  }
  /**
   * Node's own limit on heads starts anew with each interim answer, and leaves out blank lines and leading spaces of a
   * value. In a body, it limits neither the digits of a chunk's size nor the number of chunks.
   */
  function countBytes(chunk: Buffer): void {
    receivedBytes += chunk.length;
    const limitBytes = body === undefined
      ? maxHeadBytes
      : maxHeadBytes + FRAMING_SLACK_BYTES +
        body.sizeBytes * (1 + MAX_FRAMING_SHARE);
    if (!isSettled && receivedBytes > limitBytes) fail("too_large");
  }
  function settle(end: ExchangeEnd): void {
    if (isSettled) return;
    isSettled = true;
    clearTimeout(deadlineTimer);
    clearTimeout(connectTimer);
    clearInterval(silenceTimer);
    received?.close();
    resolveEnded(end);
  }
  function fail(failure: ExchangeFailure): void {
    // After the end of the exchange, its connection may serve another one.
    if (isSettled) return;
    const durationMs = performance.now() - startedMs;
    const mayHaveBeenSent = connection !== undefined;
    settle({
      kind: "failed",
      failure,
      mayHaveBeenSent,
      durationMs,
      ...(connection && { connection }),
    });
    // Without a reset, bytes that a broken path holds up would be delivered after it is mended.
    request.socket?.resetAndDestroy();
    request.destroy();
  }
  function beginSending(socket: Socket): void {
    connection = useConnection(socket);
    options.onSent?.(connection);
  }
  const failConnection = () =>
    fail(connection === undefined ? "connect_failed" : "cut");

  const request = createRequest({
    agent: options.agent,
    host: options.destination.address,
    port: options.destination.port,
    localAddress: options.localAddress,
    method: options.method,
    path: options.path,
    headers: options.headers as string[],
    maxHeaderSize: maxHeadBytes,
  });
  request.maxHeadersCount = ALL_FIELDS;
  const deadlineTimer = setTimeout(
    () => fail("deadline"),
    Math.max(0, options.timeoutMs),
  );
  const connectTimer = setTimeout(() => {
    if (connection === undefined) fail("connect_failed");
  }, options.connectTimeoutMs);
  const silenceTimer = options.onSilent &&
    setInterval(
      () => options.onSilent!(performance.now() - startedMs),
      options.silentIntervalMs,
    );
  request.on("information", () => clearInterval(silenceTimer));
  request.on("socket", (socket) => {
    socket.prependListener("end", detectReset);
    // Added after the listener of Node's HTTP parser, so that a head which ends in this chunk has been parsed.
    socket.on("data", countBytes);
    request.once("close", () => {
      socket.off("end", detectReset);
      socket.off("data", countBytes);
    });
    if (!socket.connecting) return beginSending(socket);
    socket.once("connect", () => beginSending(socket));
  });
  request.on(
    "error",
    (error) => isParserError(error) ? fail("malformed") : failConnection(),
  );
  request.on("close", () => {
    // Once there is a head, the end of the body decides whether the answer is complete.
    if (!hasHead) failConnection();
  });
  request.on("response", (response) => {
    hasHead = true;
    if (isSettled) return;
    clearInterval(silenceTimer);
    const head = { status: response.statusCode!, headers: response.headers };
    const framing = bodyFraming(response.headers);
    if (framing.isCoded || options.acceptsHead?.(head) === false) {
      return fail("malformed");
    }
    if (options.closesAfter?.(head, response.socket)) {
      request.shouldKeepAlive = false;
    }
    received = options.answerMemory?.receive(() => fail("too_large"));
    const declaredBytes = hasNoBody(options.method, response)
      ? 0
      : framing.declaredBytes;
    if (declaredBytes > options.maxAnswerBytes) return fail("too_large");
    body = new BodyBuffer({
      maxBytes: options.maxAnswerBytes,
      declaredBytes,
      onResize: (capacityBytes) => received?.resize(capacityBytes),
    });
    void readAnswerBody(response, body).then((end) => {
      if (typeof end === "string") return fail(end);
      if (wasReset && !isDelimited(options.method, response)) {
        return fail("cut");
      }
      settle({
        kind: "answered",
        ...head,
        rawHeaders: response.rawHeaders,
        body: end,
        durationMs: performance.now() - startedMs,
        connection: connection!,
      });
    });
  });
  request.end(options.body);
  return { ended, cancel: () => fail("cancelled") };
}

/** Reason why it is not known whether a request ran whose exchange failed after bytes of it may have been sent. */
export function unknownReasonOf(failure: ExchangeFailure): UnknownReason {
  // `connect_failed` is reported only if nothing was sent.
  return failure === "connect_failed" ? "cut" : failure;
}

/** Whether the answer itself marks the end of its body; otherwise only the end of the connection does. */
function isDelimited(method: string, response: IncomingMessage): boolean {
  return hasNoBody(method, response) ||
    bodyFraming(response.headers).isExpected;
}

/** Whether an answer has no body, whatever length it declares. */
function hasNoBody(method: string, { statusCode }: IncomingMessage): boolean {
  return method === "HEAD" || statusCode === 204 || statusCode === 304;
}

function readAnswerBody(
  response: IncomingMessage,
  body: BodyBuffer,
): Promise<Buffer | "cut" | "too_large"> {
  return new Promise((resolve) => {
    response.on("data", (chunk: Buffer) => {
      if (!body.append(chunk)) resolve("too_large");
    });
    response.on("end", () => {
      if (!response.complete) return resolve("cut");
      resolve(body.bytes());
    });
    response.on("error", () => resolve("cut"));
    response.on("close", () => resolve("cut"));
  });
}
