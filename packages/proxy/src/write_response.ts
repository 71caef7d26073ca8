import {
  type IncomingMessage,
  type ServerResponse,
  STATUS_CODES,
} from "node:http";
import { HEADERS, type Outcome, type Reason } from "@tanagercove/types";
import type { ResponseHead } from "./response_head.ts";
import type { Exchange, ExchangeEnd } from "./exchange.ts";
import { REFUSALS } from "./refusals.ts";

/**
 * Longest time for which the rest of a refused request's body is discarded, so that the sender can read the response
 * before the connection closes.
 */
const LINGER_MS = 500;

/** Options of `refuse`. */
export interface RefuseOptions {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly outcome: Exclude<Outcome, "answered">;
  readonly reason: Reason;
  /** Further header fields, names and values in turn. */
  readonly fields?: readonly string[];
}

/** Sends a response with an outcome other than `answered`. */
export function refuse(options: RefuseOptions): void {
  const { request, response, outcome, reason } = options;
  if (response.headersSent || response.destroyed) return;
  const body = refusalBody(outcome, reason);
  const bodyReceived = request.complete || !hasBody(request);
  if (!bodyReceived) response.shouldKeepAlive = false;
  response.writeHead(REFUSALS[reason].status, [
    ...refusalFields(outcome, reason, body),
    ...options.fields ?? [],
  ]);
  if (bodyReceived) {
    response.end(body);
    return;
  }
  // Closing while the sender still writes would reset the connection, and the
  // sender could lose the response. The rest of its body is discarded first.
  response.write(body);
  const end = () => {
    clearTimeout(timer);
    response.end();
  };
  const timer = setTimeout(end, LINGER_MS);
  request.once("end", end);
  request.once("close", end);
  request.resume();
}

/**
 * Returns a refusal as a complete HTTP response in text. It is for requests for which Node provides no response
 * object: after a framing error or a timeout, and for CONNECT.
 */
export function refusalMessage(reason: Reason): string {
  const { status } = REFUSALS[reason];
  const body = refusalBody("not_run", reason);
  const fields = refusalFields("not_run", reason, body);
  const lines = [`HTTP/1.1 ${status} ${STATUS_CODES[status]}`];
  for (let i = 0; i < fields.length; i += 2) {
    lines.push(`${fields[i]}: ${fields[i + 1]}`);
  }
  return `${lines.join("\r\n")}\r\nconnection: close\r\n\r\n${body}`;
}

/** Options of `deliver`. */
export interface DeliverOptions {
  readonly response: ServerResponse;
  readonly method: string;
  readonly exchange: Exchange;
  readonly end: ExchangeEnd;
  /** Header fields added to those passed on, names and values in turn. */
  readonly fields: readonly string[];
}

/** Passes on a response; resolves to false if it broke off and the connection was closed. */
export async function deliver(options: DeliverOptions): Promise<boolean> {
  const { response, exchange, end, fields } = options;
  const head = end.head!;
  const responseFields = head.passedFields;
  for (const field of fields) responseFields.push(field);
  if (!end.continues) {
    const body = end.chunks.length === 1
      ? end.chunks[0]!
      : Buffer.concat(end.chunks);
    const length = lengthOf(options.method, head, body);
    if (length !== undefined) responseFields.push("content-length", length);
    response.writeHead(head.status, responseFields);
    response.end(body);
    return true;
  }
  if (head.contentLength !== undefined) {
    responseFields.push("content-length", head.contentLength);
  }
  response.writeHead(head.status, responseFields);
  const complete = await exchange.pipeTo(response);
  if (complete) response.end();
  // A reset reveals the truncation even if only the end of the connection delimits the response.
  else response.socket?.resetAndDestroy();
  return complete;
}

function lengthOf(
  method: string,
  head: ResponseHead,
  body: Buffer,
): string | undefined {
  if (method === "HEAD" || head.status === 304) return head.contentLength;
  return head.status === 204 ? undefined : String(body.length);
}

function refusalBody(outcome: Outcome, reason: Reason): string {
  const { message } = REFUSALS[reason];
  return JSON.stringify({ outcome, reason, message });
}

function refusalFields(
  outcome: Outcome,
  reason: Reason,
  body: string,
): string[] {
  return [
    "content-type",
    "application/json",
    "content-length",
    String(Buffer.byteLength(body)),
    HEADERS.outcome,
    outcome,
    HEADERS.reason,
    reason,
  ];
}

function hasBody(request: IncomingMessage): boolean {
  const { headers } = request;
  return headers["transfer-encoding"] !== undefined ||
    (headers["content-length"] ?? "0") !== "0";
}
