import {
  connectionOptions,
  isHopByHop,
  removeNominatedFields,
} from "@tanagercove/headers";
import type { OwnedRequest } from "./owner.ts";
import type { RequestHeaderNames } from "./settings.ts";

/** End-to-end fields of a message, without `content-length`, fields with the prefix `tanagercove-` and those in `ownNames`. */
export function endToEndHeaders(
  rawHeaders: readonly string[],
  ownNames: ReadonlySet<string> = new Set(),
): string[] {
  const passed: string[] = [];
  let connection = "";
  for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
    const name = rawHeaders[i]!.toLowerCase();
    if (name === "connection") connection += `,${rawHeaders[i + 1]}`;
    else if (
      name !== "content-length" && !isHopByHop(name) && !ownNames.has(name) &&
      !name.startsWith("tanagercove-")
    ) passed.push(rawHeaders[i]!, rawHeaders[i + 1]!);
  }
  const nominated = connectionOptions(connection);
  return nominated.size === 0
    ? passed
    : removeNominatedFields(passed, nominated);
}

/** Fields of an upstream's answer that are passed to the caller. */
export function deliveredHeaders(rawHeaders: readonly string[]): string[] {
  return endToEndHeaders(rawHeaders);
}

/** Fields that daemons set themselves, so that a caller's values are dropped. */
export function ownFieldNames(names: RequestHeaderNames): ReadonlySet<string> {
  return new Set([names.timeLeftMs, names.upstreamId, names.callerService]);
}

/** Options of `requestHeaders`. */
export interface RequestHeadersOptions {
  readonly names: RequestHeaderNames;
  readonly timeLeftMs: number;
  /** Id that the upstream must have to run the request. */
  readonly upstreamId: string;
}

/**
 * Fields of a request to an upstream. Those that decide how it is read come first, since a server may drop fields beyond
 * a number of them.
 */
export function requestHeaders(
  { ticket, headers, method, body }: OwnedRequest,
  { names, timeLeftMs, upstreamId }: RequestHeadersOptions,
): string[] {
  return [
    ...contentLengthField(method, body),
    names.timeLeftMs,
    String(Math.max(1, Math.floor(timeLeftMs))),
    names.upstreamId,
    upstreamId,
    names.callerService,
    ticket.callerService,
    ...headers,
  ];
}

/** The `content-length` field of a request. Without a body it is 0, or left out for GET and HEAD. */
export function contentLengthField(
  method: string,
  body: Buffer | undefined,
): readonly string[] {
  if (body !== undefined) return ["content-length", String(body.length)];
  return method === "GET" || method === "HEAD" ? [] : ["content-length", "0"];
}
