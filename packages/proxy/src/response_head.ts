import { HEADERS } from "@tanagercove/types";
import {
  connectionOptions,
  isHopByHop,
  removeNominatedFields,
} from "@tanagercove/headers";

/** Header by which the owner daemon passes on its upstream's reported load. */
export const LOAD_HEADER = "tanagercove-load";

/** Header by which the owner daemon reports the duration of the exchange with its upstream, in microseconds. */
export const UPSTREAM_US_HEADER = "tanagercove-upstream-us";

/** Head of a response, split into what is passed on and what the daemon reads itself. */
export interface ResponseHead {
  readonly status: number;
  /** Names and values in turn; without hop-by-hop, `tanagercove-*` and Content-Length fields. */
  readonly passedFields: string[];
  readonly contentLength: string | undefined;
  /** Whether the end of the body can be distinguished from a broken connection. */
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

/** Options of `readResponseHead`. */
export interface ReadResponseHeadOptions {
  readonly method: string;
  readonly status: number;
  readonly rawHeaders: readonly Buffer[];
}

/** Reads the raw header fields of a response. */
export function readResponseHead(
  options: ReadResponseHeadOptions,
): ResponseHead {
  const { method, status, rawHeaders } = options;
  const passedFields: string[] = [];
  const systemFields: Record<string, string> = {};
  let contentLength: string | undefined;
  let chunked = false;
  let connection = "";
  for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
    const name = rawHeaders[i]!.toString("latin1");
    const value = rawHeaders[i + 1]!.toString("latin1");
    const lower = name.toLowerCase();
    if (lower.startsWith("tanagercove-")) systemFields[lower] = value;
    else if (lower === "content-length") contentLength = value;
    else if (lower === "transfer-encoding") chunked = /chunked$/i.test(value);
    else if (lower === "connection") connection += `,${value}`;
    else if (!isHopByHop(lower)) passedFields.push(name, value);
  }
  const nominated = connectionOptions(connection);
  const bodiless = method === "HEAD" || status === 204 || status === 304;
  return {
    status,
    passedFields: nominated.size === 0
      ? passedFields
      : removeNominatedFields(passedFields, nominated),
    contentLength,
    delimited: bodiless || chunked || contentLength !== undefined,
    keepsAlive: KEEP_ALIVE.test(connection) && !nominated.has("close"),
    outcome: systemFields[HEADERS.outcome],
    reason: systemFields[HEADERS.reason],
    notStarted: systemFields[HEADERS.notStarted] === "true",
    load: toNumber(systemFields[LOAD_HEADER]),
    upstreamUs: toNumber(systemFields[UPSTREAM_US_HEADER]),
  };
}

function toNumber(value: string | undefined): number | undefined {
  const number = value === undefined ? NaN : Number(value);
  return Number.isFinite(number) ? number : undefined;
}
