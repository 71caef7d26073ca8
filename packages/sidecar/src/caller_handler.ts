import {
  type IncomingMessage,
  type ServerResponse,
  STATUS_CODES,
} from "node:http";
import type { Socket } from "node:net";
import { CallerWaits } from "@tanagercove/admission";
import type { Catalog } from "@tanagercove/catalog";
import { type MemoryBudget, requestHeapBytes } from "@tanagercove/memory";
import type { ServiceBudgets } from "@tanagercove/retries";
import {
  matchRoute,
  type RouteIndex,
  type TargetShares,
} from "@tanagercove/routing";
import type { Route } from "@tanagercove/types";
import type { Result } from "true-myth";
import { CallerConnections } from "./caller_connections.ts";
import {
  type CallerHead,
  readCallerHead,
  releaseNodeHead,
  withoutTexts,
} from "./caller_head.ts";
import type {
  CallerRequest,
  CallerResult,
  RoutedRequest,
} from "./caller_request.ts";
import { answerFailedRequest } from "./failed_request.ts";
import type { OwnedAnswer, Owner } from "./owner.ts";
import { isParserError } from "./parser_errors.ts";
import { ownFieldNames } from "./passed_headers.ts";
import { type BodyProblem, type ReadBody, readBody } from "./read_body.ts";
import {
  decideRefusal,
  isWithoutRoom,
  type RefusalReason,
} from "./refusals.ts";
import { isSendableRequest } from "./sendable_heads.ts";
import {
  DEFAULT_RETRY_AFTER_MS,
  type RequestServer,
  type ServedRequest,
} from "./serve_request.ts";
import type { KnownShortage } from "./room_check.ts";
import { decideRoomPolicy } from "./room_policy.ts";
import type { RequestHeaderNames } from "./settings.ts";

/** Largest random share added to Retry-After, so that refused callers do not retry at the same time. */
const RETRY_AFTER_SPREAD = 0.5;

/**
 * Rank of nested requests, which this VM's upstream sends as part of handling another request (the parent). It is the
 * most urgent rank, since a refusal would waste the work done for the parent.
 */
const NESTED_RANK = 0;

/**
 * Priority numbers above this one get the same rank as this one. A higher number is less urgent. The ranks of requests
 * that are not nested begin at 1.
 */
const MAX_PRIORITY = 3;

/** Time before the deadline from which a caller that leaves does so because of it. */
const AT_DEADLINE_MS = 50;

/** Status of the answer to a framing error, by error code of Node; 400 for the others. */
const FRAMING_STATUSES: Readonly<Record<string, number>> = {
  ERR_HTTP_REQUEST_TIMEOUT: 408,
  HPE_HEADER_OVERFLOW: 431,
};

/** Status of the answer to a request for a tunnel (CONNECT). */
const TUNNEL_STATUS = 501;

/** Error code of a connection that ends within a request. */
const EARLY_END_CODE = "HPE_INVALID_EOF_STATE";

/** Why a request whose body was not read is refused. */
const BODY_REFUSALS: Readonly<
  Record<Exclude<BodyProblem, "gone">, RefusalReason>
> = {
  too_large: "body_too_large",
  no_memory: "no_memory",
  too_late: "deadline_before_start",
  coded: "body_coded",
  unannounced: "bad_request",
};

/** Options of `createCallerHandler`. */
export interface CreateCallerHandlerOptions {
  readonly names: RequestHeaderNames;
  readonly catalog: Catalog;
  readonly owner: Pick<Owner, "runsParentOf" | "beginNested" | "recordCall">;
  readonly server: RequestServer;
  readonly memory: MemoryBudget;
  readonly shares: TargetShares;
  readonly budgets: ServiceBudgets;
  /** Whether this daemon does not know enough yet to serve requests. */
  readonly isStarting: () => boolean;
  readonly isStopping: () => boolean;
  /** Whether a request is taken although the process may end soon. */
  readonly mayTake: (request: TimedRequest) => boolean;
  readonly onResult: (result: CallerResult) => void;
  /** Called with the error of a request that is answered with 500. */
  readonly onHandlerFailed: (error: unknown) => void;
}

/** What decides whether a stopping daemon takes a request. */
export interface TimedRequest {
  /** Time until the caller's deadline or the timeout of the route, whichever is first. */
  readonly timeLeftMs: number;
  readonly isNested: boolean;
}

/** What is known of a request before its body is read. */
interface KnownBeforeBody {
  readonly index: RouteIndex | undefined;
  /** Set if it has been checked whether there is room. */
  readonly checked: RequestHead | undefined;
}

/** What the head of a request says of it. */
type RequestHead = Pick<
  RoutedRequest,
  | "route"
  | "version"
  | "service"
  | "rank"
  | "deadlineAtMs"
  | "objectiveAtMs"
  | "waitedBeforeMs"
  | "isNested"
>;

interface RefuseOptions {
  readonly retryAfterMs: number;
  readonly shortage?: KnownShortage;
}

/** Handles the requests of this VM's clients and upstream. */
export interface CallerHandler {
  handle(request: IncomingMessage, response: ServerResponse): void;
  /** Handles an error of a connection, the event `clientError` of Node's server. */
  handleConnectionError(error: NodeJS.ErrnoException, socket: Socket): void;
  /** Refuses a request for a tunnel, the event `connect` of Node's server. */
  handleConnect(request: IncomingMessage, socket: Socket): void;
  /** Requests whose answers have not been sent completely. */
  readonly inFlight: number;
  /** Whether a caller may not have received its answer. */
  readonly isSending: boolean;
  /**
   * Cancels the running attempt of each request in flight, which is then answered at once. A request that is still
   * being received has no attempt and is not affected.
   */
  cancelAll(): void;
}

/** Creates the handler of requests from this VM's clients and upstream. */
export function createCallerHandler(
  options: CreateCallerHandlerOptions,
): CallerHandler {
  const { names, catalog, server } = options;
  const ownNames = ownFieldNames(names);
  const callerWaits = new CallerWaits();
  const connections = new CallerConnections();

  async function handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    // The connection closes after an earlier answer, so this request gets none. The caller retries on a new connection.
    if (connections.isClosing(request.socket)) {
      releaseNodeHead(request);
      request.resume();
      return;
    }
    const releaseHead = options.memory.heads.hold(
      "caller_heads",
      requestHeapBytes({ path: request.url!, headers: request.rawHeaders }),
    );
    const head = readCallerHead(request, { names, ownNames });
    releaseNodeHead(request);
    const caller: CallerRequest = {
      request,
      response,
      head: releaseHead === undefined ? withoutTexts(head) : head,
      releaseHead,
      requestId: head.requestId,
      startedMs: performance.now(),
      attempts: [],
      isDisconnected: false,
      cancel: undefined,
    };
    connections.add(caller);
    // Node's parser drops what it has read behind such a request, so nothing more is taken from the connection.
    if (head.offersUpgrade) connections.closeAfterPending(request.socket);
    if (releaseHead === undefined) {
      request.resume();
      return refuse(caller, "no_memory");
    }
    const index = catalog.index;
    const limits = index?.configuration.limits;
    const checked = headToCheck(caller);
    const shortage = checked && server.knownShortage(checked);
    if (shortage !== undefined) {
      return refuseUnread(Object.assign(caller, checked), shortage);
    }
    const body = await readBody(request, {
      maxBytes: limits?.maxBodyBytes ?? 1_048_576,
      framing: head.framing,
      reserve: (sizeBytes) =>
        options.memory.reserveBody("caller_bodies", sizeBytes),
      timeoutMs: bodyTimeoutMs(head, index),
      onBegin() {
        if (head.expectsContinue) response.writeContinue();
      },
    });
    caller.bodyLease = body.isOk ? body.value.lease : undefined;
    await handleRead(caller, body, { index, checked })
      .finally(() => caller.bodyLease?.close());
  }

  /** Time within which a body has to arrive; none for a request without a body. */
  function bodyTimeoutMs(
    head: CallerHead,
    index: RouteIndex | undefined,
  ): number {
    if (!head.framing.isExpected) return 0;
    return Math.min(
      head.timeLeftMs,
      routeOf(head, index)?.timeoutMs ?? Infinity,
    );
  }

  /** Handles a request whose body has been read, or has been given up. */
  async function handleRead(
    caller: CallerRequest,
    body: Result<ReadBody, BodyProblem>,
    known: KnownBeforeBody,
  ): Promise<void> {
    // Refused because of a framing error in its body.
    if (caller.response.writableEnded) return;
    if (caller.isDisconnected) return reportResult(caller, "gone", 0);
    if (body.isErr) {
      if (body.error === "gone") return reportResult(caller, "gone", 0);
      return refuse(caller, BODY_REFUSALS[body.error]);
    }
    await serveRead(caller, body.value.body, known);
  }

  /** Serves a request whose body has been read. */
  async function serveRead(
    caller: CallerRequest,
    body: Buffer | undefined,
    { index, checked }: KnownBeforeBody,
  ): Promise<void> {
    const { head } = caller;
    if (caller.requestId === "" || !isSendableRequest(head)) {
      return refuse(caller, "bad_request");
    }
    if (index === undefined || options.isStarting()) {
      return refuse(caller, "starting");
    }
    const route = routeOf(head, index);
    if (route === undefined) return refuse(caller, "no_route");
    if (!mayTake(caller, route)) return refuse(caller, "stopping");
    const service = options.shares.nextService(route);
    options.budgets.recordRequest(service);
    const { version } = index.configuration;
    const routed: RoutedRequest = Object.assign(
      caller,
      checked ?? headOf(caller, { route, service, version }),
      { body, isRoomChecked: checked !== undefined },
    );
    const endNested = routed.isNested
      ? options.owner.beginNested(caller.requestId)
      : undefined;
    const served = await server.serve(routed).finally(() => endNested?.());
    if (routed.isNested) recordCall(routed, served);
    // An answer that is read slowly would keep it.
    routed.body = undefined;
    routed.head = withoutTexts(routed.head);
    if (served.kind === "answered") return deliver(routed, served.answer);
    if (served.kind === "gone") return reportResult(routed, "gone", 0);
    refuse(routed, served.reason, served);
  }

  /** Whether a request that has been read is taken, if this daemon is stopping. */
  function mayTake(caller: CallerRequest, route: Route): boolean {
    return options.mayTake({
      timeLeftMs: deadlineAtMsOf(caller, route) - performance.now(),
      isNested: options.owner.runsParentOf(caller.requestId),
    });
  }

  /** End of the time until the caller's deadline or the timeout of the route, whichever is first. */
  function deadlineAtMsOf(
    { head, startedMs }: CallerRequest,
    { timeoutMs }: Route,
  ): number {
    return startedMs + Math.min(head.timeLeftMs, timeoutMs);
  }

  function recordCall(
    { requestId, service, deadlineAtMs }: RoutedRequest,
    served: ServedRequest,
  ): void {
    const hadTime = performance.now() < deadlineAtMs - AT_DEADLINE_MS;
    // A call that its run gave up before says nothing of the room for it.
    if (served.kind === "gone" && hadTime) return;
    const hadRoom = served.kind === "answered" ||
      served.kind === "refused" && !isWithoutRoom(served.reason);
    options.owner.recordCall({ requestId, service, hadRoom });
  }

  /** What is known of a request before its body is read. */
  function headOf(
    caller: CallerRequest,
    { route, service, version }: Pick<
      RoutedRequest,
      "route" | "service" | "version"
    >,
  ): RequestHead {
    const { head, requestId, startedMs } = caller;
    const waitedBeforeMs = callerWaits.waitedMs(route.name, head.timeLeftMs);
    const isNested = options.owner.runsParentOf(requestId);
    return {
      route,
      version,
      service,
      rank: isNested
        ? NESTED_RANK
        : 1 + Math.min(MAX_PRIORITY, Math.floor(route.priority)),
      deadlineAtMs: deadlineAtMsOf(caller, route),
      objectiveAtMs: startedMs + route.latencyObjectiveMs - waitedBeforeMs,
      waitedBeforeMs,
      isNested,
    };
  }

  /**
   * The head of a request with a large body, for which it is checked whether there is room before the body is read;
   * undefined for other requests, which are checked when an upstream is chosen. So is one of a split route, whose target
   * is chosen later, since each choice counts.
   */
  function headToCheck(caller: CallerRequest) {
    const { head, requestId } = caller;
    const { index } = catalog;
    if (
      !head.framing.isExpected || requestId === "" ||
      decideRoomPolicy(index?.configuration) === "by_attempt"
    ) return undefined;
    const route = routeOf(head, index);
    if (route?.targets.length !== 1) return undefined;
    if (route.hasLargeBodies !== true || !mayTake(caller, route)) {
      return undefined;
    }
    const { service } = route.targets[0]!;
    const { version } = index!.configuration;
    return headOf(caller, { route, service, version });
  }

  /** Refuses a request at once; its body, if it has one, is not read. */
  function refuseUnread(
    caller: CallerRequest & Pick<RoutedRequest, "service">,
    shortage: KnownShortage,
  ): void {
    options.budgets.recordRequest(caller.service);
    refuse(caller, "no_room", { ...shortage, shortage });
  }

  /**
   * After a framing error, no further request can be read from the connection.
   * The requests received before it keep their own answers: Node would answer
   * 408 or 400 in place of the first of them, though it may have run.
   */
  function handleConnectionError(
    error: NodeJS.ErrnoException,
    socket: Socket,
  ): void {
    const code = error.code ?? "";
    const isFramingError = isParserError(error) ||
      FRAMING_STATUSES[code] !== undefined;
    if (!isFramingError || code === EARLY_END_CODE || !socket.writable) {
      socket.destroy();
      return;
    }
    if (connections.isClosing(socket)) return;
    const newest = connections.newestOn(socket);
    if (newest !== undefined && !newest.request.complete) {
      return refuse(newest, "bad_request");
    }
    refuseConnection(socket, FRAMING_STATUSES[code] ?? 400);
  }

  /** Takes nothing more from a connection; if no answer is due on it, it gets one with a status. */
  function refuseConnection(socket: Socket, status: number): void {
    if (connections.newestOn(socket) === undefined) {
      socket.write(
        `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\n` +
          "Connection: close\r\nContent-Length: 0\r\n\r\n",
      );
    }
    connections.closeAfterPending(socket);
  }

  function deliver(
    routed: RoutedRequest,
    { status, headers, body }: OwnedAnswer,
  ): void {
    const { response } = routed;
    if (options.isStopping()) connections.closeAfterAnswer(routed);
    response.sendDate = false;
    const length = status === 204 || status === 304
      ? []
      : ["content-length", String(body.length)];
    if (!routed.isDisconnected) {
      routed.releaseAnswer = options.memory.answers.hold(body.length);
    }
    response.writeHead(status, [...headers, ...length]);
    response.end(body);
    reportResult(routed, "answered", status);
  }

  function refuse(
    caller: CallerRequest,
    latestReason: RefusalReason,
    { retryAfterMs, shortage }: RefuseOptions = {
      retryAfterMs: DEFAULT_RETRY_AFTER_MS,
    },
  ): void {
    const { request, response, head, attempts } = caller;
    const { reason, status, message } = decideRefusal(latestReason, attempts);
    const isUnread = !request.complete && head.framing.isExpected;
    if (options.isStopping() || isUnread) {
      connections.closeAfterAnswer(caller);
    }
    const body = JSON.stringify({ error: reason, message });
    const fields = [
      "content-type",
      "application/json",
      "content-length",
      String(Buffer.byteLength(body)),
    ];
    if (caller.requestId !== "") fields.push(names.requestId, caller.requestId);
    if (status === 503) {
      const policy = decideRoomPolicy(catalog.index?.configuration);
      // By knowledge, each caller has been told another time.
      const spread = policy === "by_knowledge"
        ? 1
        : 1 + RETRY_AFTER_SPREAD * Math.random();
      const seconds = retryAfterMs * spread / 1_000;
      fields.push("retry-after", seconds.toFixed(2));
    }
    response.writeHead(status, fields);
    response.end(body);
    reportResult(caller, reason, status, shortage);
  }

  function reportResult(
    caller: CallerRequest | RoutedRequest,
    outcome: CallerResult["outcome"],
    status: number,
    shortage?: KnownShortage,
  ): void {
    const nowMs = performance.now();
    const routed = "route" in caller ? caller : undefined;
    options.onResult({
      requestId: caller.requestId,
      outcome,
      status,
      route: routed?.route,
      service: routed?.service,
      rank: routed?.rank,
      version: routed?.version ?? catalog.version,
      attempts: caller.attempts,
      waitedBeforeMs: routed && Math.round(routed.waitedBeforeMs),
      timeLeftMs: routed && Math.round(routed.deadlineAtMs - nowMs),
      durationMs: Math.round(nowMs - caller.startedMs),
      shortage,
    });
  }

  return {
    handle: (request, response) =>
      void handle(request, response).catch((error) => {
        options.onHandlerFailed(error);
        answerFailedRequest(response);
      }),
    handleConnectionError,
    handleConnect(_request, socket) {
      if (!connections.isClosing(socket)) {
        refuseConnection(socket, TUNNEL_STATUS);
      }
    },
    get inFlight() {
      return connections.inFlight;
    },
    get isSending() {
      return connections.isSending;
    },
    cancelAll() {
      for (const caller of connections) caller.cancel?.();
    },
  };
}

function routeOf(
  { host, path }: CallerHead,
  index: RouteIndex | undefined,
): Route | undefined {
  return index && matchRoute(index, { host, path });
}
