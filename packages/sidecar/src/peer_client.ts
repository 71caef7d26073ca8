import type { AnswerMemory } from "./answer_memory.ts";
import type { ConnectionAgents } from "./connection_agent.ts";
import type {
  CatalogUpdate,
  FeedRequest,
  FeedResponse,
} from "@tanagercove/catalog";
import type { Endpoint } from "@tanagercove/types";
import {
  type AnswerHead,
  type Exchange,
  type ExchangeEnd,
  startExchange,
  unknownReasonOf,
} from "./exchange.ts";
import {
  decodeVerdict,
  encodeTicket,
  FORWARD_HEADER,
  OUTCOME_HEADER,
  type OwnerState,
  type OwnerVerdict,
} from "./forwarding.ts";
import { PEER_MAX_HEAD_BYTES } from "./header_limits.ts";
import type { OwnedAnswer, OwnedRequest } from "./owner.ts";
import { contentLengthField, endToEndHeaders } from "./passed_headers.ts";

/** Path at which a daemon serves its catalog to other daemons. */
export const CATALOG_PATH = "/-/tanagercove/catalog";

/**
 * Path of the long poll for changes of a daemon's catalog. A follower is a daemon that uses this long poll instead of
 * reading the platform.
 */
export const FEED_PATH = "/-/tanagercove/feed";

/** Timeout of a follower's long poll, in addition to its wait. */
const FEED_GRACE_MS = 400;

/** Another VM in the same region accepts a connection within milliseconds; one that takes longer is unreachable. */
const CONNECT_TIMEOUT_MS = 300;

/** Time after the deadline in which the owner daemon's verdict may still arrive: only it says whether the request ran. */
const VERDICT_GRACE_MS = 40;

/** Interval of `onSilent` calls; almost four times `CONFIRM_AFTER_MS`, after which the owner daemon sends an interim answer. */
const SILENT_INTERVAL_MS = 450;

/** Timeout of one catalog fetch. */
const CATALOG_TIMEOUT_MS = 800;

/** Limit that allows a catalog of thousands of routes and upstreams. */
const MAX_CATALOG_BYTES = 32 * 1024 * 1024;

/** Outcome of a forwarded request. */
export interface ForwardResult {
  readonly verdict: OwnerVerdict;
  readonly answer: OwnedAnswer | undefined;
  /** State of the owner daemon, if its verdict arrived. */
  readonly state: OwnerState | undefined;
}

/** A forwarded request in flight. */
export interface ForwardRun {
  readonly ended: Promise<ForwardResult>;
  cancel(): void;
}

/** Options of `createPeerClient`. */
export interface CreatePeerClientOptions {
  readonly agents: ConnectionAgents;
  readonly localAddress: string;
  readonly maxAnswerBytes: number;
  readonly answerMemory: AnswerMemory;
}

/** Options of `PeerClient.forward`. */
export interface ForwardOptions {
  readonly destination: Endpoint;
  readonly request: OwnedRequest;
  /** Called repeatedly until the owner daemon responds. */
  readonly onSilent: (silentMs: number) => void;
}

/** Calls other daemons. */
export interface PeerClient {
  forward(options: ForwardOptions): ForwardRun;
  follow(
    destination: Endpoint,
    request: FeedRequest,
  ): Promise<FeedResponse | undefined>;
  readCatalog(
    destination: Endpoint,
    have: { readonly version: number; readonly changeRevision: number },
  ): Promise<CatalogUpdate | undefined>;
}

/** Creates the client for calls to other daemons. */
export function createPeerClient(
  { agents, localAddress, maxAnswerBytes, answerMemory }:
    CreatePeerClientOptions,
): PeerClient {
  return {
    forward({ destination, request, onSilent }) {
      const { ticket, method, path, headers, body } = request;
      const exchange = startExchange({
        agent: agents.forClass(ticket.requestClass),
        destination,
        localAddress,
        method,
        path,
        headers: [
          ...headers,
          FORWARD_HEADER,
          encodeTicket(ticket),
          ...contentLengthField(method, body),
        ],
        body,
        timeoutMs: ticket.timeLeftMs + VERDICT_GRACE_MS,
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
        maxAnswerBytes,
        answerMemory,
        maxHeadBytes: PEER_MAX_HEAD_BYTES,
        acceptsHead: (head) => decodeOutcome(head) !== undefined,
        onSilent,
        silentIntervalMs: SILENT_INTERVAL_MS,
      });
      return forwardRun(exchange);
    },
    follow: (destination, { version, feedId, position, waitMs }) =>
      fetchJson<FeedResponse>(destination, {
        path: `${FEED_PATH}?version=${version}&feed_id=${feedId}` +
          `&position=${position}&wait_ms=${waitMs}`,
        timeoutMs: waitMs + FEED_GRACE_MS,
      }),
    readCatalog: (destination, { version, changeRevision }) =>
      fetchJson<CatalogUpdate>(destination, {
        path:
          `${CATALOG_PATH}?version=${version}&change_revision=${changeRevision}`,
        timeoutMs: CATALOG_TIMEOUT_MS,
      }),
  };

  /** Fetches JSON from a daemon of the same fleet; it runs the same program, so the JSON has the expected type. */
  async function fetchJson<T>(
    destination: Endpoint,
    { path, timeoutMs }: { readonly path: string; readonly timeoutMs: number },
  ): Promise<T | undefined> {
    const { ended } = startExchange({
      agent: agents.forClass("idempotent"),
      destination,
      localAddress,
      method: "GET",
      path,
      headers: ["host", `${destination.address}:${destination.port}`],
      body: undefined,
      timeoutMs,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      maxAnswerBytes: MAX_CATALOG_BYTES,
      answerMemory,
      acceptsHead: isCatalogHead,
    });
    const end = await ended;
    if (end.kind !== "answered" || end.status !== 200) return undefined;
    return JSON.parse(end.body.toString()) as T;
  }
}

function forwardRun(exchange: Exchange): ForwardRun {
  return {
    ended: exchange.ended.then(forwardResult),
    cancel: () => exchange.cancel(),
  };
}

function forwardResult(end: ExchangeEnd): ForwardResult {
  if (end.kind === "failed") {
    return {
      verdict: failedVerdict(end),
      answer: undefined,
      state: undefined,
    };
  }
  const decoded = decodeOutcome(end);
  if (decoded === undefined) throw new Error("Exchange accepts no such head");
  const answer = decoded.verdict.kind !== "answered" ? undefined : {
    status: end.status,
    headers: endToEndHeaders(end.rawHeaders),
    body: end.body,
  };
  return { ...decoded, answer };
}

/**
 * Decodes the verdict and state in the head of an answer to a forwarded request; undefined if it has none. Then it is
 * not from a daemon of this fleet, or a daemon refused the request as too large (413) or malformed (400), and it counts
 * as unknown whether the request ran.
 */
function decodeOutcome(
  { headers }: AnswerHead,
): ReturnType<typeof decodeVerdict> {
  const outcome = headers[OUTCOME_HEADER];
  return typeof outcome === "string" ? decodeVerdict(outcome) : undefined;
}

/** Whether a daemon may have sent this head as the answer to a fetch: JSON, or 204 if there is nothing newer. */
function isCatalogHead({ status, headers }: AnswerHead): boolean {
  return status === 204 ||
    status === 200 && headers["content-type"] === "application/json";
}

function failedVerdict(
  { failure, mayHaveBeenSent }: Extract<ExchangeEnd, { kind: "failed" }>,
): OwnerVerdict {
  if (mayHaveBeenSent) {
    return { kind: "unknown", reason: unknownReasonOf(failure) };
  }
  const isLocalAbort = failure === "deadline" || failure === "cancelled";
  return {
    kind: "not_run",
    reason: isLocalAbort ? failure : "connect_failed",
    reachedUpstream: false,
    retryAfterMs: 0,
  };
}
