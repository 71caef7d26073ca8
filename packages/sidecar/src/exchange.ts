import { type Agent, type IncomingMessage, request as open } from "node:http";
import type { Socket } from "node:net";
import type { Endpoint } from "@tanagercove/types";

/** Why an exchange has no whole answer. */
export type ExchangeFailure =
  | "connect_failed"
  | "cut"
  | "too_large"
  | "deadline"
  | "cancelled";

/** Outcome of one request on one connection. */
export type ExchangeEnd =
  | {
    readonly kind: "answered";
    readonly status: number;
    /** Names and values in turn, as received. */
    readonly rawHeaders: readonly string[];
    readonly headers: Readonly<Record<string, string | string[] | undefined>>;
    readonly body: Buffer;
    readonly durationMs: number;
  }
  | {
    readonly kind: "failed";
    readonly failure: ExchangeFailure;
    /** Whether bytes of the request may have left this daemon. */
    readonly mayHaveLeft: boolean;
    readonly durationMs: number;
  };

/** One request to the next hop. */
export interface ExchangeOptions {
  readonly agent: Agent;
  readonly destination: Endpoint;
  readonly localAddress: string;
  readonly method: string;
  readonly path: string;
  /** Names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Buffer | undefined;
  readonly timeoutMs: number;
  /** Time until a new connection must be open. */
  readonly connectTimeoutMs: number;
  readonly maxAnswerBytes: number;
  /** Called each time that another `silentEveryMs` have passed without anything, not even an interim answer. */
  readonly onSilent?: (silentMs: number) => void;
  readonly silentEveryMs?: number;
}

/** A running exchange. */
export interface Exchange {
  readonly ended: Promise<ExchangeEnd>;
  /** Ends the exchange and closes its connection. */
  cancel(): void;
}

/** Carries out one request with a deadline; the answer is complete before it is passed on. */
export function startExchange(options: ExchangeOptions): Exchange {
  const startedMs = performance.now();
  let mayHaveLeft = false;
  let settled = false;
  let wasReset = false;
  let resolveEnded!: (end: ExchangeEnd) => void;
  const ended = new Promise<ExchangeEnd>((resolve) => resolveEnded = resolve);

  /**
   * Node reports a reset that arrives together with the last bytes as an orderly
   * end. The system then knows no other end of the connection any more.
   */
  function noteEndOfConnection(this: Socket): void {
    wasReset = this.remoteAddress === undefined;
  }
  function settle(end: ExchangeEnd): void {
    if (settled) return;
    settled = true;
    clearTimeout(deadline);
    clearTimeout(connecting);
    clearInterval(silence);
    resolveEnded(end);
  }
  function fail(failure: ExchangeFailure): void {
    const durationMs = performance.now() - startedMs;
    settle({ kind: "failed", failure, mayHaveLeft, durationMs });
    request.destroy();
  }
  const failConnection = () => fail(mayHaveLeft ? "cut" : "connect_failed");

  const request = open({
    agent: options.agent,
    host: options.destination.address,
    port: options.destination.port,
    localAddress: options.localAddress,
    method: options.method,
    path: options.path,
    headers: options.headers as string[],
  });
  const deadline = setTimeout(
    () => fail("deadline"),
    Math.max(0, options.timeoutMs),
  );
  const connecting = setTimeout(() => {
    if (!mayHaveLeft) fail("connect_failed");
  }, options.connectTimeoutMs);
  const silence = options.onSilent &&
    setInterval(
      () => options.onSilent!(performance.now() - startedMs),
      options.silentEveryMs,
    );
  request.on("information", () => clearInterval(silence));
  request.on("socket", (socket) => {
    socket.prependListener("end", noteEndOfConnection);
    request.once("close", () => socket.off("end", noteEndOfConnection));
    if (!socket.connecting) {
      mayHaveLeft = true;
      return;
    }
    socket.once("connect", () => mayHaveLeft = true);
  });
  let hasHead = false;
  request.on("error", failConnection);
  request.on("close", () => {
    // The end of the body tells whether an answer is whole.
    if (!hasHead) failConnection();
  });
  request.on("response", (response) => {
    hasHead = true;
    clearInterval(silence);
    void readBody(response, options.maxAnswerBytes).then((body) => {
      if (typeof body === "string") return fail(body);
      if (wasReset && !isDelimited(options.method, response)) {
        return fail("cut");
      }
      settle({
        kind: "answered",
        status: response.statusCode!,
        rawHeaders: response.rawHeaders,
        headers: response.headers,
        body,
        durationMs: performance.now() - startedMs,
      });
    });
  });
  request.end(options.body);
  return { ended, cancel: () => fail("cancelled") };
}

/** Whether the end of a body can be told without the end of its connection. */
function isDelimited(method: string, response: IncomingMessage): boolean {
  const { statusCode, headers } = response;
  return method === "HEAD" || statusCode === 204 || statusCode === 304 ||
    headers["content-length"] !== undefined ||
    headers["transfer-encoding"] !== undefined;
}

function readBody(
  response: IncomingMessage,
  maxBytes: number,
): Promise<Buffer | "cut" | "too_large"> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    response.on("data", (chunk: Buffer) => {
      chunks.push(chunk);
      sizeBytes += chunk.length;
      if (sizeBytes > maxBytes) resolve("too_large");
    });
    response.on("end", () => {
      if (!response.complete) return resolve("cut");
      resolve(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks));
    });
    response.on("error", () => resolve("cut"));
    response.on("close", () => resolve("cut"));
  });
}
