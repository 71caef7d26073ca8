import { HEADERS } from "@tanagercove/types";
import {
  connectionOptions,
  isHopByHop,
  removeNominatedFields,
} from "@tanagercove/headers";

/** Header by which the owner daemon passes on its upstream's reported load. */
export const LOAD_HEADER = "tanagercove-load";

/** Header by which the owner daemon reports the duration of the upstream's exchange, in microseconds. */
export const UPSTREAM_US_HEADER = "tanagercove-upstream-us";

/** Head of an answer, split into what is passed on and what the daemon reads itself. */
export interface AnswerHead {
  readonly status: number;
  /** Names and values in turn; without hop-by-hop, `tanagercove-*` and Content-Length fields. */
  readonly passed: string[];
  readonly contentLength: string | undefined;
  /** Whether the end of the body can be told from a broken connection. */
  readonly delimited: boolean;
  /** Whether the sender announced that it keeps the connection open. */
  readonly keepsAlive: boolean;
  readonly outcome: string | undefined;
  readonly reason: string | undefined;
  readonly notStarted: boolean;
  readonly load: number | undefined;
  readonly upstreamUs: number | undefined;
}

const KEEP_ALIVE = /(^|,)\s*keep-alive\s*(,|$)/i;

/** Options of `readAnswerHead`. */
export interface ReadAnswerHeadOptions {
  readonly method: string;
  readonly status: number;
  readonly rawHeaders: readonly Buffer[];
}

/** Reads the raw header fields of an answer. */
export function readAnswerHead(options: ReadAnswerHeadOptions): AnswerHead {
  const { method, status, rawHeaders } = options;
  const passed: string[] = [];
  const own: Record<string, string> = {};
  let contentLength: string | undefined;
  let chunked = false;
  let connection = "";
  for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
    const name = rawHeaders[i]!.toString("latin1");
    const value = rawHeaders[i + 1]!.toString("latin1");
    const lower = name.toLowerCase();
    if (lower.startsWith("tanagercove-")) own[lower] = value;
    else if (lower === "content-length") contentLength = value;
    else if (lower === "transfer-encoding") chunked = /chunked$/i.test(value);
    else if (lower === "connection") connection += `,${value}`;
    else if (!isHopByHop(lower)) passed.push(name, value);
  }
  const nominated = connectionOptions(connection);
  const bodiless = method === "HEAD" || status === 204 || status === 304;
  return {
    status,
    passed: nominated.size === 0
      ? passed
      : removeNominatedFields(passed, nominated),
    contentLength,
    delimited: bodiless || chunked || contentLength !== undefined,
    keepsAlive: KEEP_ALIVE.test(connection) && !nominated.has("close"),
    outcome: own[HEADERS.outcome],
    reason: own[HEADERS.reason],
    notStarted: own[HEADERS.notStarted] === "true",
    load: toNumber(own[LOAD_HEADER]),
    upstreamUs: toNumber(own[UPSTREAM_US_HEADER]),
  };
}

function toNumber(value: string | undefined): number | undefined {
  const number = value === undefined ? NaN : Number(value);
  return Number.isFinite(number) ? number : undefined;
}
