import type { IncomingMessage } from "node:http";
import { type BodyFraming, bodyFraming } from "@tanagercove/headers";
import { endToEndHeaders } from "./passed_headers.ts";
import type { RequestHeaderNames } from "./settings.ts";

/** Time left of a request whose `timeLeftMs` header is missing, 0 or not a finite number. */
const DEFAULT_DEADLINE_MS = 10_000;

/** What the head of a caller's request says. */
export interface CallerHead {
  /** Empty if it is missing. */
  readonly requestId: string;
  readonly host: string;
  readonly path: string;
  readonly timeLeftMs: number;
  readonly framing: BodyFraming;
  /** Whether the caller waits until it is asked for the body. */
  readonly expectsContinue: boolean;
  /** Whether the caller offers to go on in another protocol. */
  readonly offersUpgrade: boolean;
  /** Fields that are passed on, as alternating names and values. */
  readonly headers: readonly string[];
}

/** Options of `readCallerHead`. */
export interface ReadCallerHeadOptions {
  readonly names: RequestHeaderNames;
  /** Fields that daemons set themselves and that are not passed on. */
  readonly ownNames: ReadonlySet<string>;
}

/** The same head without its path and the fields that are passed on, which take most of its memory. */
export function withoutTexts(head: CallerHead): CallerHead {
  return { ...head, path: "", headers: [] };
}

/** Drops the copies of a head that Node keeps for as long as its request is not answered. */
export function releaseNodeHead(request: IncomingMessage): void {
  request.url = "";
  request.rawHeaders = [];
  request.headers = {};
}

/** Reads the head of a request. */
export function readCallerHead(
  { headers, rawHeaders, url }: IncomingMessage,
  { names, ownNames }: ReadCallerHeadOptions,
): CallerHead {
  const requestId = headers[names.requestId];
  return {
    requestId: typeof requestId === "string" ? requestId : "",
    host: headers.host ?? "",
    path: url!,
    timeLeftMs: decodeTimeLeft(headers[names.timeLeftMs]),
    framing: bodyFraming(headers),
    expectsContinue: headers.expect !== undefined,
    offersUpgrade: headers.upgrade !== undefined,
    headers: endToEndHeaders(rawHeaders, ownNames),
  };
}

function decodeTimeLeft(value: string | string[] | undefined): number {
  const timeLeftMs = Number(value);
  return Number.isFinite(timeLeftMs) && timeLeftMs !== 0
    ? timeLeftMs
    : DEFAULT_DEADLINE_MS;
}
