import type { ConnectionAgents } from "./connection_agent.ts";
import type {
  CatalogUpdate,
  FeedRequest,
  FeedResponse,
} from "@tanagercove/catalog";
import type { Endpoint } from "@tanagercove/types";
import { type Exchange, type ExchangeEnd, startExchange } from "./exchange.ts";
import {
  decodeVerdict,
  encodeTicket,
  FORWARD_HEADER,
  OUTCOME_HEADER,
  type OwnerState,
  type OwnerVerdict,
} from "./forwarding.ts";
import type { OwnedAnswer, OwnedRequest } from "./owner.ts";
import { endToEndHeaders, lengthField } from "./passed_headers.ts";

/** Path on which a daemon tells others what it holds. */
export const CATALOG_PATH = "/-/tanagercove/catalog";

/** Path on which a daemon tells its followers what has changed. */
export const FEED_PATH = "/-/tanagercove/feed";

/** Time beyond the wait of a question in which the answer must arrive. */
const FEED_GRACE_MS = 400;

/** Another VM in the same region answers within milliseconds; a longer wait means it is out of reach. */
const CONNECT_TIMEOUT_MS = 300;

/** Time beyond the deadline for the owner daemon's verdict, which knows whether the request ran. */
const VERDICT_GRACE_MS = 40;

/** Almost four times the delay of `CONFIRM_AFTER_MS`, after which the owner daemon confirms a request. */
const SILENT_EVERY_MS = 450;

/** Time for one question for the catalog. */
const CATALOG_TIMEOUT_MS = 800;

/** Bound for a catalog of thousands of routes and upstreams. */
const MAX_CATALOG_BYTES = 32 * 1024 * 1024;

/** Outcome of a forwarded request. */
export interface ForwardResult {
  readonly verdict: OwnerVerdict;
  readonly answer: OwnedAnswer | undefined;
  /** What the owner daemon said of itself, if it answered. */
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
}

/** Options of `PeerClient.forward`. */
export interface ForwardOptions {
  readonly destination: Endpoint;
  readonly request: OwnedRequest;
  /** Called again and again while the owner daemon shows no sign of life. */
  readonly onSilent: (silentMs: number) => void;
}

/** Calls other daemons. */
export interface PeerClient {
  forward(options: ForwardOptions): ForwardRun;
  follow(
    destination: Endpoint,
    question: FeedRequest,
  ): Promise<FeedResponse | undefined>;
  readCatalog(
    destination: Endpoint,
    have: { readonly version: number; readonly changeRevision: number },
  ): Promise<CatalogUpdate | undefined>;
}

/** Creates the client for calls to other daemons. */
export function createPeerClient(
  { agents, localAddress, maxAnswerBytes }: CreatePeerClientOptions,
): PeerClient {
  return {
    forward({ destination, request, onSilent }) {
      const { ticket, method, path, headers, body } = request;
      const exchange = startExchange({
        agent: agents.of(ticket.requestClass),
        destination,
        localAddress,
        method,
        path,
        headers: [
          ...headers,
          FORWARD_HEADER,
          encodeTicket(ticket),
          ...lengthField(method, body),
        ],
        body,
        timeoutMs: ticket.timeLeftMs + VERDICT_GRACE_MS,
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
        maxAnswerBytes,
        onSilent,
        silentEveryMs: SILENT_EVERY_MS,
      });
      return forwardRun(exchange);
    },
    follow: (destination, { version, feedId, position, waitMs }) =>
      ask<FeedResponse>(destination, {
        path: `${FEED_PATH}?version=${version}&feed_id=${feedId}` +
          `&position=${position}&wait_ms=${waitMs}`,
        timeoutMs: waitMs + FEED_GRACE_MS,
      }),
    readCatalog: (destination, { version, changeRevision }) =>
      ask<CatalogUpdate>(destination, {
        path:
          `${CATALOG_PATH}?version=${version}&change_revision=${changeRevision}`,
        timeoutMs: CATALOG_TIMEOUT_MS,
      }),
  };

  /** Asks a daemon of the same fleet, which runs the same program, so its JSON has the type expected. */
  async function ask<T>(
    destination: Endpoint,
    { path, timeoutMs }: { readonly path: string; readonly timeoutMs: number },
  ): Promise<T | undefined> {
    const { ended } = startExchange({
      agent: agents.of("idempotent"),
      destination,
      localAddress,
      method: "GET",
      path,
      headers: ["host", `${destination.address}:${destination.port}`],
      body: undefined,
      timeoutMs,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      maxAnswerBytes: MAX_CATALOG_BYTES,
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
  const outcome = end.headers[OUTCOME_HEADER];
  const decoded = typeof outcome === "string"
    ? decodeVerdict(outcome)
    : undefined;
  if (decoded === undefined) {
    // Not from a daemon of this fleet, so nothing is certain.
    const verdict: OwnerVerdict = { kind: "unknown", reason: "malformed" };
    return { verdict, answer: undefined, state: undefined };
  }
  const answer = decoded.verdict.kind !== "answered" ? undefined : {
    status: end.status,
    headers: endToEndHeaders(end.rawHeaders),
    body: end.body,
  };
  return { ...decoded, answer };
}

function failedVerdict(
  { failure, mayHaveLeft }: Extract<ExchangeEnd, { kind: "failed" }>,
): OwnerVerdict {
  const isOwnEnd = failure === "deadline" || failure === "cancelled";
  if (mayHaveLeft) {
    return { kind: "unknown", reason: isOwnEnd ? failure : "cut" };
  }
  return {
    kind: "not_run",
    reason: isOwnEnd ? failure : "connect_failed",
    reachedUpstream: false,
    retryAfterMs: 0,
  };
}
