import type { ServerResponse } from "node:http";
import { performance } from "node:perf_hooks";
import type { Dispatcher } from "undici";
import { isFinalStatus } from "@tanagercove/headers";
import { readResponseHead, type ResponseHead } from "./response_head.ts";
import type { ExchangeFailure } from "./classify_exchange.ts";

/** Limit on bytes buffered for a slow receiver if the connection must not be paused. */
const MAX_UNPAUSED_BYTES = 16 * 1024 * 1024;

/** Options of `Exchange`: one request to the next hop. */
export interface ExchangeOptions {
  readonly dispatcher: Dispatcher;
  readonly method: string;
  readonly path: string;
  /** Names and values in turn. */
  readonly headers: string[];
  readonly body: Buffer | undefined;
  readonly timeoutMs: number;
  /** Responses up to this size are received completely before their first byte is passed on. */
  readonly bufferBytes: number;
}

/** Result of an exchange that has ended, or whose response exceeds `bufferBytes` and is still being received. */
export interface ExchangeEnd {
  readonly requestBegan: boolean;
  readonly failure: ExchangeFailure | undefined;
  readonly head: ResponseHead | undefined;
  readonly chunks: readonly Buffer[];
  /** Whether the response exceeds the buffer and is still being received; see `pipeTo`. */
  readonly continues: boolean;
  readonly durationMs: number;
  /** Time from the start until a connection was chosen. */
  readonly connectMs: number | undefined;
  /** Time from the start until the head of the response was received. */
  readonly headMs: number | undefined;
}

type Abort = (error?: Error) => void;

/** Carries out one request on a connection of a dispatcher, with a deadline. */
export class Exchange implements Dispatcher.DispatchHandler {
  /** Resolves when the response is complete, when it exceeds the buffer, or when the exchange fails. */
  readonly ended: Promise<ExchangeEnd>;
  readonly #method: string;
  readonly #bufferBytes: number;
  readonly #startedMs = performance.now();
  readonly #timer: NodeJS.Timeout;
  #resolveEnded!: (end: ExchangeEnd) => void;
  #settled = false;
  #complete = false;
  #failure: ExchangeFailure | undefined;
  #requestBegan = false;
  #connectMs: number | undefined;
  #headMs: number | undefined;
  #abort: Abort | undefined;
  #head: ResponseHead | undefined;
  #chunks: Buffer[] = [];
  #bufferedBytes = 0;
  #resume: (() => void) | undefined;
  #sink: ServerResponse | undefined;
  #resolvePiped: ((complete: boolean) => void) | undefined;

  constructor(options: ExchangeOptions) {
    this.#method = options.method;
    this.#bufferBytes = options.bufferBytes;
    this.ended = new Promise((resolve) => this.#resolveEnded = resolve);
    this.#timer = setTimeout(
      () => this.abort("deadline"),
      Math.max(0, options.timeoutMs),
    );
    options.dispatcher.dispatch({
      path: options.path,
      method: options.method as Dispatcher.HttpMethod,
      headers: options.headers,
      body: options.body ?? null,
    }, this);
  }

  /** Ends the exchange and closes its connection; a request that has not begun is never sent. */
  abort(failure: "deadline" | "cancelled"): void {
    this.#fail(failure);
    this.#abort?.();
  }

  /** Streams a long response to `sink`; resolves to true when it is complete, false when it broke off. */
  pipeTo(sink: ServerResponse): Promise<boolean> {
    return new Promise((resolve) => {
      this.#resolvePiped = resolve;
      this.#sink = sink;
      for (const chunk of this.#chunks) sink.write(chunk);
      this.#chunks = [];
      sink.on("drain", () => this.#resume?.());
      if (this.#failure !== undefined) resolve(false);
      else if (this.#complete) resolve(true);
    });
  }

  onConnect(abort: Abort): void {
    if (this.#failure !== undefined) return abort();
    this.#abort = abort;
    this.#requestBegan = true;
    this.#connectMs = performance.now() - this.#startedMs;
  }

  onHeaders(status: number, rawHeaders: Buffer[], resume: () => void): boolean {
    if (status < 200) return true;
    if (!isFinalStatus(status)) {
      this.#fail("connection");
      this.#abort?.();
      return false;
    }
    this.#headMs = performance.now() - this.#startedMs;
    this.#resume = resume;
    this.#head = readResponseHead({ method: this.#method, status, rawHeaders });
    return true;
  }

  onData(chunk: Buffer): boolean {
    if (this.#sink !== undefined) return this.#passOn(chunk);
    this.#chunks.push(chunk);
    this.#bufferedBytes += chunk.length;
    if (this.#bufferedBytes > this.#bufferBytes) this.#settle();
    return true;
  }

  onComplete(): void {
    this.#complete = true;
    clearTimeout(this.#timer);
    this.#settle();
    this.#resolvePiped?.(this.#failure === undefined);
  }

  onError(error: Error): void {
    const invalid = !this.#requestBegan &&
      /^UND_ERR_(INVALID_ARG|NOT_SUPPORTED)$/.test(
        (error as { code?: string }).code ?? "",
      );
    this.#fail(invalid ? "invalid_request" : "connection");
  }

  #passOn(chunk: Buffer): boolean {
    if (this.#sink!.write(chunk)) return true;
    // undici 7.30 fails an assertion, which would end the process, if a
    // connection without keep-alive ends while it is paused. So a connection is
    // paused only if the response announces keep-alive. Without a Connection field,
    // keep-alive depends on the HTTP version, which undici does not report.
    if (this.#head!.keepsAlive) return false;
    if (this.#sink!.writableLength > MAX_UNPAUSED_BYTES) {
      this.abort("cancelled");
    }
    return true;
  }

  #fail(failure: ExchangeFailure): void {
    if (this.#complete || this.#failure !== undefined) return;
    this.#failure = failure;
    clearTimeout(this.#timer);
    this.#settle();
    this.#resolvePiped?.(false);
  }

  #settle(): void {
    if (this.#settled) return;
    this.#settled = true;
    this.#resolveEnded({
      requestBegan: this.#requestBegan,
      failure: this.#failure,
      head: this.#head,
      chunks: this.#chunks,
      continues: !this.#complete && this.#failure === undefined,
      durationMs: performance.now() - this.#startedMs,
      connectMs: this.#connectMs,
      headMs: this.#headMs,
    });
  }
}
