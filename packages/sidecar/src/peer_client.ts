import type { AnswerMemory } from "@tanagercove/memory";
import type { ConnectionAgents } from "./connection_agent.ts";
import type {
  CatalogTransfer,
  ConfigurationUpdate,
  FeedRequest,
  FeedResponse,
  HeldRevisions,
  UpstreamsSnapshot,
} from "@tanagercove/catalog";
import { fetchBody } from "@tanagercove/transfers";
import type { Endpoint } from "@tanagercove/types";
import {
  decodeConfigurationUpdate,
  decodeFeedResponse,
  decodeLinkTable,
  decodeUpstreamsSnapshot,
  type PeerAnswerResult,
} from "./decode_peer_answers.ts";
import {
  type AnswerHead,
  type Exchange,
  type ExchangeEnd,
  startExchange,
  unknownReasonOf,
} from "./exchange.ts";
import {
  addUpstreamState,
  decodeVerdict,
  EVACUATED_HEADER,
  OUTCOME_HEADER,
  type OwnerState,
  type OwnerVerdict,
  ticketHeaders,
  UPSTREAM_HEADER,
} from "./forwarding.ts";
import { PEER_MAX_HEAD_BYTES } from "./header_limits.ts";
import type { OwnedAnswer, OwnedRequest } from "./owner.ts";
import { contentLengthField, endToEndHeaders } from "./passed_headers.ts";
import { isSendableAnswer } from "./sendable_heads.ts";
import {
  evidenceOfLostVerdict,
  type VerdictEvidence,
} from "./verdict_evidence.ts";
import type { LinkTable } from "./zone_links.ts";

/** Path at which a daemon serves the upstreams that it holds to other daemons. */
export const UPSTREAMS_PATH = "/-/tanagercove/upstreams";

/** Path at which a daemon serves its configuration, whole or as a delta, to other daemons. */
export const CONFIGURATION_PATH = "/-/tanagercove/configuration";

/** Path at which daemons of a zone tell each other the bandwidths of their links. */
export const LINKS_PATH = "/-/tanagercove/links";

/** Query parameter with which a daemon asks for the times of the links too; earlier versions cannot read them. */
export const LINK_TIMES_PARAMETER = "times";

/**
 * Path of the long poll for changes of a daemon's catalog. A follower is a daemon that uses this long poll instead of
 * reading the platform.
 */
export const FEED_PATH = "/-/tanagercove/feed";

/** Time until the response to a follower's long poll must begin, in addition to its wait. */
const FEED_GRACE_MS = 400;

/** Another VM in the same region accepts a connection within milliseconds; one that takes longer is unreachable. */
const CONNECT_TIMEOUT_MS = 300;

/** Time after the deadline in which the owner daemon's verdict may still arrive: only it says whether the request ran. */
const VERDICT_GRACE_MS = 40;

/** Interval of `onSilent` calls; almost four times `CONFIRM_AFTER_MS`, after which the owner daemon sends an interim answer. */
const SILENT_INTERVAL_MS = 450;

/** Time until the response to a fetch of upstreams or of a configuration must begin. */
const CATALOG_HEAD_TIMEOUT_MS = 800;

/** Limit that allows a catalog of thousands of routes and upstreams. */
const MAX_CATALOG_BYTES = 32 * 1024 * 1024;

/** Outcome of a forwarded request. */
export interface ForwardResult {
  readonly verdict: OwnerVerdict;
  readonly answer: OwnedAnswer | undefined;
  /** State of the owner daemon, if its verdict arrived. */
  readonly state: OwnerState | undefined;
  /** What the verdict rests on; absent if it is the owner daemon's. */
  readonly evidence?: VerdictEvidence;
}

/** A forwarded request in flight. */
export interface ForwardRun {
  readonly ended: Promise<ForwardResult>;
  cancel(): void;
}

/** An answer of another daemon that can't be decoded; it is treated as no answer. */
export interface UnreadableAnswer {
  readonly destination: Endpoint;
  readonly problem: string;
}

/** Options of `createPeerClient`. */
export interface CreatePeerClientOptions {
  readonly agents: ConnectionAgents;
  readonly localAddress: string;
  readonly maxAnswerBytes: number;
  /** Called at the end of each response of another daemon with routes or upstreams. */
  readonly onTransfer?: (transfer: CatalogTransfer) => void;
  readonly onUnreadable: (answer: UnreadableAnswer) => void;
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
  /** Tells another daemon the bandwidth of this VM's link, and returns those that it knows. */
  exchangeLinks(
    destination: Endpoint,
    ownLinkMbps: number,
  ): Promise<LinkTable | undefined>;
  fetchUpstreams(
    destination: Endpoint,
    held: HeldRevisions,
  ): Promise<UpstreamsSnapshot | undefined>;
  fetchConfiguration(
    destination: Endpoint,
    heldVersion: number,
  ): Promise<ConfigurationUpdate | undefined>;
}

/** Creates the client for calls to other daemons. */
export function createPeerClient(
  {
    agents,
    localAddress,
    maxAnswerBytes,
    answerMemory,
    onTransfer,
    onUnreadable,
  }: CreatePeerClientOptions,
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
        // Daemons of earlier versions drop fields beyond the first thousand.
        headers: [
          ...ticketHeaders(ticket),
          ...contentLengthField(method, body),
          ...headers,
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
    follow: (destination, request) =>
      fetchDecoded<FeedResponse>(destination, {
        content: "feed",
        decode: decodeFeedResponse,
        path: feedPath(request),
        headTimeoutMs: request.waitMs + FEED_GRACE_MS,
      }),
    exchangeLinks: (destination, ownLinkMbps) =>
      fetchDecoded<LinkTable>(destination, {
        content: "links",
        decode: decodeLinkTable,
        path: `${LINKS_PATH}?address=${localAddress}&link_mbps=${ownLinkMbps}` +
          `&${LINK_TIMES_PARAMETER}=1`,
        headTimeoutMs: CATALOG_HEAD_TIMEOUT_MS,
      }),
    fetchUpstreams: (destination, held) =>
      fetchDecoded<UpstreamsSnapshot>(destination, {
        content: "upstreams",
        decode: decodeUpstreamsSnapshot,
        path: `${UPSTREAMS_PATH}?upstream_revision=${held.upstreamRevision}` +
          `&evacuation_revision=${held.evacuationRevision}`,
        headTimeoutMs: CATALOG_HEAD_TIMEOUT_MS,
      }),
    fetchConfiguration: (destination, heldVersion) =>
      fetchDecoded<ConfigurationUpdate>(destination, {
        content: "configuration",
        decode: decodeConfigurationUpdate,
        path: `${CONFIGURATION_PATH}?version=${heldVersion}`,
        headTimeoutMs: CATALOG_HEAD_TIMEOUT_MS,
      }),
  };

  /** Fetches from another daemon; undefined if it does not answer, has nothing to send or its answer is unreadable. */
  async function fetchDecoded<T>(
    destination: Endpoint,
    { content, path, headTimeoutMs, decode }: {
      readonly content: string;
      readonly path: string;
      readonly headTimeoutMs: number;
      readonly decode: (body: Buffer) => PeerAnswerResult<T>;
    },
  ): Promise<T | undefined> {
    const source = `${destination.address}:${destination.port}`;
    const fetched = await fetchBody({
      agent: agents.forClass("idempotent"),
      destination,
      localAddress,
      path,
      headTimeoutMs,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      maxBytes: MAX_CATALOG_BYTES,
      acceptsGzip: true,
      acceptsHead: isCatalogHead,
      onEnd: (stats) => onTransfer?.({ source, content, ...stats }),
    });
    if (fetched.isErr || fetched.value.status !== 200) return undefined;
    const decoded = decode(fetched.value.body);
    if (decoded.isOk) return decoded.value;
    onUnreadable({ destination, problem: decoded.error });
    return undefined;
  }
}

function feedPath(
  request: FeedRequest,
): string {
  const { follower, readers, version, feedId, position, waitMs } = request;
  const { confirmation } = request;
  const query = new URLSearchParams({
    version: String(version),
    feed_id: feedId,
    position: String(position),
    wait_ms: String(waitMs),
  });
  if (follower !== undefined) query.set("follower", follower);
  if (readers !== undefined) query.set("readers", readers.join(","));
  if (confirmation !== undefined) {
    query.set("confirmation", String(confirmation));
  }
  return `${FEED_PATH}?${query}`;
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
      evidence: evidenceOfLostVerdict(end),
    };
  }
  const decoded = decodeOutcome(end);
  if (decoded === undefined) throw new Error("Exchange accepts no such head");
  const headers = endToEndHeaders(end.rawHeaders);
  if (!isSendableAnswer({ status: end.status, headers })) {
    const verdict: OwnerVerdict = { kind: "unknown", reason: "malformed" };
    return { verdict, answer: undefined, state: undefined };
  }
  const answer = decoded.verdict.kind !== "answered" ? undefined : {
    status: end.status,
    headers,
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
  const decoded = typeof outcome === "string"
    ? decodeVerdict(outcome)
    : undefined;
  if (decoded === undefined) return undefined;
  const state = headers[EVACUATED_HEADER] === undefined
    ? decoded.state
    : { ...decoded.state, isEvacuated: true };
  const upstreamState = headers[UPSTREAM_HEADER];
  return typeof upstreamState === "string"
    ? { ...decoded, state: addUpstreamState(state, upstreamState) }
    : { ...decoded, state };
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
