import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import {
  answerFeedRequest,
  type Catalog,
  type ReaderChain,
} from "@tanagercove/catalog";
import type { MemoryBudget } from "@tanagercove/memory";
import {
  decodeTicket,
  encodeUpstreamState,
  encodeVerdict,
  EVACUATED_HEADER,
  FORWARD_HEADER,
  type ForwardTicket,
  NO_WAIT_HEADER,
  type NotRunReason,
  OUTCOME_HEADER,
  type OwnerState,
  UPSTREAM_HEADER,
} from "./forwarding.ts";
import { answerFailedRequest } from "./failed_request.ts";
import { type ForwardedResult, runForwarded } from "./forwarded_requests.ts";
import type { OwnedRequest, OwnedResult, Owner } from "./owner.ts";
import { PEER_MAX_HEAD_BYTES } from "./header_limits.ts";
import { endToEndHeaders } from "./passed_headers.ts";
import {
  ConfigurationResponses,
  encodeJson,
  type JsonBody,
} from "./configuration_responses.ts";
import {
  CONFIGURATION_PATH,
  FEED_PATH,
  LINK_TIMES_PARAMETER,
  LINKS_PATH,
  UPSTREAMS_PATH,
} from "./peer_client.ts";
import { type BodyProblem, readBody } from "./read_body.ts";
import { isSendableRequest } from "./sendable_heads.ts";
import type { RequestHeaderNames } from "./settings.ts";
import { type HttpListener, listenHttp } from "./http_listener.ts";
import type { LinkTable, ZoneLinks } from "./zone_links.ts";

/** HTTP status for the caller's daemon if there is no upstream answer; `OUTCOME_HEADER` has the details. */
const STATUS_BY_KIND = { not_run: 503, unknown: 502 } as const;

/** Longer than the idle timeout of the daemons' outgoing connections, so that the sender closes first. */
const PEER_KEEP_ALIVE_MS = 30_000;

/**
 * A request that takes longer than this gets an interim answer. Without one, the caller's daemon would treat this
 * daemon as unreachable.
 */
const CONFIRM_AFTER_MS = 120;

/** Upper bound on the wait of a follower's long poll. */
const MAX_FEED_WAIT_MS = 10_000;

/** Results of requests whose bodies were not read whole. */
const NOT_READ: Readonly<Partial<Record<BodyProblem, OwnedResult>>> = {
  no_memory: notRun("busy"),
  too_late: notRun("deadline"),
};

function notRun(reason: NotRunReason): OwnedResult {
  return {
    verdict: {
      kind: "not_run",
      reason,
      reachedUpstream: false,
      retryAfterMs: 0,
    },
    answer: undefined,
  };
}

/** Options of `startPeerServer`. */
export interface StartPeerServerOptions {
  readonly address: string;
  readonly ports: readonly number[];
  readonly names: RequestHeaderNames;
  readonly owner: Owner;
  readonly memory: MemoryBudget;
  readonly catalog: Catalog;
  /** Identifies this run of the daemon; positions in the feed are valid only within one run. */
  readonly feedId: string;
  /** Whether other daemons may follow this one: it has a catalog and contact to the platform, and is not stopping. */
  readonly isInContact: () => boolean;
  /** Daemons over which the platform's changes reach this one. */
  readonly readers: () => ReaderChain;
  /** Time since the platform last confirmed the version in force here. */
  readonly confirmedAgeMs: () => number;
  /** Number of confirmations that followers were told of. */
  readonly confirmation: () => number;
  /** State of this daemon and of the upstream with an id, which is that of this VM or was. */
  readonly state: (upstreamId: string) => OwnerState;
  /** Whether a forwarded request may run on this VM's upstream. */
  readonly accepts: (request: OwnedRequest) => boolean;
  /**
   * Whether this daemon is stopping and no longer accepts forwarded requests; connections to it are then closed after
   * their next answer.
   */
  readonly isLeaving: () => boolean;
  readonly links: Pick<ZoneLinks, "record" | "table">;
  readonly maxBodyBytes: () => number;
  readonly onForwarded: (result: ForwardedResult) => void;
  /** Called with the error of a request that is answered with 500. */
  readonly onHandlerFailed: (error: unknown) => void;
}

/** The server for other daemons. */
export interface PeerServer extends HttpListener {
  /** Forwarded requests whose answers have not been sent completely. */
  readonly inFlight: number;
}

/** Serves other daemons: forwarded requests and the catalog. */
export async function startPeerServer(
  options: StartPeerServerOptions,
): Promise<PeerServer> {
  const configurations = new ConfigurationResponses(options.catalog);
  let inFlight = 0;
  const server = createServer({
    maxHeaderSize: PEER_MAX_HEAD_BYTES,
    keepAliveTimeout: PEER_KEEP_ALIVE_MS,
    requestTimeout: 0,
    requireHostHeader: false,
  }, (request, response) => {
    void handle(request, response).catch((error) => {
      options.onHandlerFailed(error);
      answerFailedRequest(response);
    });
  });

  async function handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    response.sendDate = false;
    if (options.isLeaving()) response.shouldKeepAlive = false;
    const ticketText = request.headers[FORWARD_HEADER];
    if (typeof ticketText === "string") {
      const ticket = decodeTicket(ticketText);
      const mayWait = request.headers[NO_WAIT_HEADER] === undefined;
      await handleForwarded(
        request,
        response,
        ticket && { ...ticket, mayWait },
      );
    } else if (request.url!.startsWith(`${UPSTREAMS_PATH}?`)) {
      answerUpstreams(request, response);
    } else if (request.url!.startsWith(`${CONFIGURATION_PATH}?`)) {
      answerConfiguration(request, response);
    } else if (request.url!.startsWith(`${LINKS_PATH}?`)) {
      answerLinks(request, response);
    } else if (request.url!.startsWith(`${FEED_PATH}?`)) {
      await answerFollower(request, response);
    } else {
      response.writeHead(404).end();
    }
  }

  function answerLinks(
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const { searchParams } = new URL(request.url!, "http://daemon");
    const linkMbps = Number(searchParams.get("link_mbps") ?? NaN);
    const address = searchParams.get("address");
    if (address !== null && linkMbps >= 0 && linkMbps < Infinity) {
      options.links.record(address, linkMbps);
    }
    const table = options.links.table();
    respondJson(
      response,
      encodeJson(
        searchParams.has(LINK_TIMES_PARAMETER) ? table : bandwidthsOf(table),
      ),
    );
  }

  function answerUpstreams(
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const { catalog } = options;
    const snapshot = catalog.newerSnapshot({
      upstreamRevision: numberParameter(request, "upstream_revision"),
      // Daemons of earlier versions do not ask for evacuations.
      evacuationRevision: hasParameter(request, "evacuation_revision")
        ? numberParameter(request, "evacuation_revision")
        : Infinity,
    });
    respondJson(response, snapshot && encodeJson(snapshot));
  }

  function answerConfiguration(
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    const held = numberParameter(request, "version");
    respondJson(response, configurations.bodyFor(held));
  }

  async function answerFollower(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { searchParams } = new URL(request.url!, "http://daemon");
    const number = (name: string) => Number(searchParams.get(name));
    const follower = searchParams.get("follower");
    const readers = searchParams.get("readers");
    const confirmation = searchParams.get("confirmation");
    const answer = await answerFeedRequest({
      catalog: options.catalog,
      feedId: options.feedId,
      request: {
        ...(follower === null ? {} : { follower }),
        ...(readers === null ? {} : { readers: decodeReaders(readers) }),
        ...(confirmation !== null && { confirmation: Number(confirmation) }),
        version: number("version"),
        feedId: searchParams.get("feed_id") ?? "",
        position: number("position"),
        waitMs: Math.min(MAX_FEED_WAIT_MS, number("wait_ms")),
      },
      isInContact: options.isInContact,
      readers: options.readers,
      confirmedAgeMs: options.confirmedAgeMs,
      confirmation: options.confirmation,
    });
    respondJson(response, encodeJson(answer));
  }

  async function handleForwarded(
    request: IncomingMessage,
    response: ServerResponse,
    ticket: ForwardTicket | undefined,
  ): Promise<void> {
    inFlight += 1;
    response.once("close", () => inFlight -= 1);
    const requestId = request.headers[options.names.requestId];
    const body = await readBody(request, {
      maxBytes: options.maxBodyBytes(),
      reserve: (sizeBytes) =>
        options.memory.reserveBody("forwarded_bodies", sizeBytes),
      ...(ticket && { timeoutMs: ticket.timeLeftMs }),
    });
    if (body.isErr) {
      if (body.error === "gone") return;
      const unread = NOT_READ[body.error];
      if (unread !== undefined && ticket !== undefined) {
        return respond(response, ticket, unread);
      }
      response.writeHead(body.error === "too_large" ? 413 : 400).end();
      return;
    }
    const { lease } = body.value;
    response.once("close", () => lease?.close());
    if (response.destroyed) return lease?.close();
    const path = request.url!;
    const headers = endToEndHeaders(request.rawHeaders);
    if (
      ticket === undefined || typeof requestId !== "string" ||
      !isSendableRequest({ path, headers })
    ) {
      response.writeHead(400).end();
      return;
    }
    const run = runForwarded({
      ticket,
      requestId,
      method: request.method!,
      path,
      headers,
      body: body.value.body,
      callerAddress: request.socket.remoteAddress,
    }, options);
    const confirmTimer = setTimeout(() => {
      if (!response.headersSent) response.writeProcessing();
    }, CONFIRM_AFTER_MS);
    // The event `close` of the response follows some turns of the event loop after the end of its connection.
    request.socket.once("end", run.cancel);
    response.on("close", () => {
      clearTimeout(confirmTimer);
      request.socket.off("end", run.cancel);
      if (!response.writableFinished) run.cancel();
    });
    const result = await run.ended.finally(() => clearTimeout(confirmTimer));
    respond(response, ticket, result);
  }

  function respond(
    response: ServerResponse,
    { upstreamId }: ForwardTicket,
    { verdict, answer }: OwnedResult,
  ): void {
    if (response.destroyed) return;
    const state = options.state(upstreamId);
    const upstreamState = encodeUpstreamState(state);
    const ownFields = [
      OUTCOME_HEADER,
      encodeVerdict(verdict, state),
      ...(upstreamState === undefined ? [] : [UPSTREAM_HEADER, upstreamState]),
      ...(state.isEvacuated ? [EVACUATED_HEADER, "1"] : []),
    ];
    if (answer === undefined) {
      const status = verdict.kind === "answered"
        ? 502
        : STATUS_BY_KIND[verdict.kind];
      response.writeHead(status, [
        ...ownFields,
        "content-length",
        "0",
      ]);
      response.end();
      return;
    }
    response.once("close", options.memory.answers.hold(answer.body.length));
    response.writeHead(answer.status, [
      ...ownFields,
      "content-length",
      String(answer.body.length),
      ...answer.headers,
    ]);
    response.end(answer.body);
  }

  const listener = await listenHttp(server, options);
  return {
    ...listener,
    get inFlight() {
      return inFlight;
    },
  };
}

/** Sends JSON, or 204 if there is nothing to send. */
function respondJson(
  response: ServerResponse,
  body: JsonBody | undefined,
): void {
  if (response.destroyed) return;
  if (body === undefined) {
    response.writeHead(204).end();
    return;
  }
  response.writeHead(200, {
    "content-type": "application/json",
    "content-length": body.bytes.length,
    ...(body.isGzip ? { "content-encoding": "gzip" } : {}),
  });
  response.end(body.bytes);
}

/** The table as daemons of earlier versions read it. */
function bandwidthsOf(table: LinkTable): Readonly<Record<string, number>> {
  return Object.fromEntries(
    Object.entries(table).map(([address, { linkMbps }]) => [address, linkMbps]),
  );
}

/** Decodes a list of daemons that is joined by commas. */
function decodeReaders(text: string): ReaderChain {
  return text === "" ? [] : text.split(",");
}

function numberParameter(request: IncomingMessage, name: string): number {
  return Number(parametersOf(request).get(name));
}

function hasParameter(request: IncomingMessage, name: string): boolean {
  return parametersOf(request).has(name);
}

function parametersOf(request: IncomingMessage): URLSearchParams {
  return new URL(request.url!, "http://daemon").searchParams;
}
