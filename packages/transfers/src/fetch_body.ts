import {
  type Agent,
  get,
  type IncomingHttpHeaders,
  type IncomingMessage,
} from "node:http";
import { gunzipSync } from "node:zlib";
import { Result } from "true-myth";
import { ALL_FIELDS } from "@tanagercove/headers";
import type { Endpoint } from "@tanagercove/types";
import { limitHeadBytes } from "./limit_head_bytes.ts";

/**
 * Default for `stallTimeoutMs`. A narrow link that is full delays packets by more than half a second; a connection that
 * has delivered nothing for several times as long has most likely gone silent.
 */
const STALL_TIMEOUT_MS = 1_500;

/** Default for `timeoutMs`: 1 MB takes half of this time on a link of 0.5 Mbit/s. */
const TIMEOUT_MS = 30_000;

/** Limit on the head of a response, with all interim responses before it. */
const MAX_HEAD_BYTES = 64 * 1024;

/** Options of `fetchBody`. */
export interface FetchBodyOptions {
  readonly agent: Agent;
  readonly destination: Endpoint;
  /** Source address of a new connection. */
  readonly localAddress: string;
  readonly path: string;
  /** Time within which the head of the response must have arrived. */
  readonly headTimeoutMs: number;
  /** Time within which a new connection must be open; `headTimeoutMs` by default. */
  readonly connectTimeoutMs?: number;
  /** Longest pause between bytes of the response. */
  readonly stallTimeoutMs?: number;
  /** Time within which the whole response must have arrived, however steadily it does. */
  readonly timeoutMs?: number;
  /** Limit on the body, before and after its decompression. */
  readonly maxBytes: number;
  /** Whether the server may compress the body with gzip. */
  readonly acceptsGzip?: boolean;
  /**
   * Whether a response with this head can be used. If not, the fetch fails as `malformed` before the body is read. All
   * heads are accepted by default.
   */
  readonly acceptsHead?: (head: ResponseHead) => boolean;
  /** Aborts the fetch, which then fails as `unreachable`. */
  readonly signal?: AbortSignal;
  /** Called once, when the fetch ends. */
  readonly onEnd?: (stats: FetchStats) => void;
}

/** How a fetch ended: with the complete response, without the head of one, or with only a part of one. */
export type FetchOutcome = "complete" | "no_response" | "incomplete";

/** Status and header fields of a response; the names of fields are in lower case. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
}

/** What arrived, and when. */
export interface FetchStats {
  readonly outcome: FetchOutcome;
  /** Bytes of the body that arrived. */
  readonly sizeBytes: number;
  /** Time until the head of the response arrived; undefined if it did not. */
  readonly headMs: number | undefined;
  readonly durationMs: number;
}

/** A complete response. */
export interface FetchedBody {
  readonly status: number;
  readonly body: Buffer;
}

/** Why no complete response arrived. */
export type FetchError =
  | { readonly kind: "timeout"; readonly timeoutMs: number }
  | { readonly kind: "unreachable"; readonly message: string }
  | { readonly kind: "too_large"; readonly maxBytes: number }
  | { readonly kind: "malformed"; readonly message: string };

/**
 * Sends one GET request and reads the response whole. A response is given up when it stops arriving, not when it takes
 * long: on a narrow link, the time of a complete response depends on its size.
 */
export function fetchBody(
  options: FetchBodyOptions,
): Promise<Result<FetchedBody, FetchError>> {
  const {
    headTimeoutMs,
    connectTimeoutMs = headTimeoutMs,
    stallTimeoutMs = STALL_TIMEOUT_MS,
    timeoutMs = TIMEOUT_MS,
    maxBytes,
  } = options;
  const startedMs = performance.now();
  const elapsedMs = () => performance.now() - startedMs;
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    let headMs: number | undefined;
    let isSettled = false;

    const request = get({
      host: options.destination.address,
      port: options.destination.port,
      localAddress: options.localAddress,
      path: options.path,
      maxHeaderSize: MAX_HEAD_BYTES,
      headers: options.acceptsGzip ? { "accept-encoding": "gzip" } : {},
      agent: options.agent,
      signal: options.signal,
    });
    request.maxHeadersCount = ALL_FIELDS;
    const failAfter = (afterMs: number) =>
      setTimeout(() => fail({ kind: "timeout", timeoutMs: afterMs }), afterMs);
    const timer = failAfter(timeoutMs);
    const headTimer = failAfter(headTimeoutMs);
    let stallTimer: NodeJS.Timeout | undefined;
    const connectTimer = setTimeout(() => {
      if (request.socket?.connecting !== false) {
        fail({ kind: "timeout", timeoutMs: connectTimeoutMs });
      }
    }, connectTimeoutMs);

    function settle(result: Result<FetchedBody, FetchError>): void {
      if (isSettled) return;
      isSettled = true;
      clearTimeout(timer);
      clearTimeout(headTimer);
      clearTimeout(stallTimer);
      clearTimeout(connectTimer);
      options.onEnd?.({
        outcome: result.isOk
          ? "complete"
          : headMs === undefined
          ? "no_response"
          : "incomplete",
        sizeBytes,
        headMs,
        durationMs: elapsedMs(),
      });
      resolve(result);
    }

    function fail(error: FetchError): void {
      settle(Result.err(error));
      request.destroy();
    }

    function readBody(response: IncomingMessage): void {
      headMs = elapsedMs();
      clearTimeout(headTimer);
      const head = { status: response.statusCode!, headers: response.headers };
      if (options.acceptsHead?.(head) === false) {
        fail({ kind: "malformed", message: `Unexpected head: ${head.status}` });
        return;
      }
      if (Number(response.headers["content-length"] ?? 0) > maxBytes) {
        fail({ kind: "too_large", maxBytes });
        return;
      }
      stallTimer = failAfter(stallTimeoutMs);
      response.on("data", (chunk: Buffer) => {
        stallTimer!.refresh();
        chunks.push(chunk);
        sizeBytes += chunk.length;
        if (sizeBytes > maxBytes) fail({ kind: "too_large", maxBytes });
      });
      response.on(
        "error",
        ({ message }) => fail({ kind: "unreachable", message }),
      );
      response.on("end", () => {
        const encoding = response.headers["content-encoding"] ?? "identity";
        settle(
          decodeBody(Buffer.concat(chunks), { encoding, maxBytes })
            .map((body) => ({ status: response.statusCode!, body })),
        );
      });
    }

    limitHeadBytes(request, {
      maxBytes: MAX_HEAD_BYTES,
      onExceeded: () => fail({ kind: "too_large", maxBytes: MAX_HEAD_BYTES }),
    });
    request.on("response", readBody);
    request.on(
      "error",
      ({ message }) => fail({ kind: "unreachable", message }),
    );
  });
}

function decodeBody(
  body: Buffer,
  { encoding, maxBytes }: {
    readonly encoding: string;
    readonly maxBytes: number;
  },
): Result<Buffer, FetchError> {
  const malformed = (message: string) =>
    Result.err<Buffer, FetchError>({ kind: "malformed", message });
  if (encoding === "identity") return Result.ok(body);
  if (encoding !== "gzip") {
    return malformed(`Unexpected content encoding ${encoding}`);
  }
  try {
    return Result.ok(gunzipSync(body, { maxOutputLength: maxBytes }));
  } catch (error) {
    return malformed(String(error));
  }
}
