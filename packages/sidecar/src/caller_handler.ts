import type { IncomingMessage, ServerResponse } from "node:http";
import { CallerWaits } from "@tanagercove/admission";
import type { Catalog } from "@tanagercove/catalog";
import {
  choosePlacement,
  type PlacementCandidate,
  type PlacementResult,
  type UpstreamReports,
} from "@tanagercove/placement";
import type { ServiceBudgets } from "@tanagercove/retries";
import { matchRoute, type TargetShares } from "@tanagercove/routing";
import type { Endpoint } from "@tanagercove/types";
import type {
  CallerRequest,
  CallerResult,
  RoutedRequest,
} from "./caller_request.ts";
import { decideNextStep, notRunReason } from "./decide_next_step.ts";
import type { ForwardTicket, OwnerState, OwnerVerdict } from "./forwarding.ts";
import type { OwnedAnswer, OwnedRequest, Owner } from "./owner.ts";
import { endToEndHeaders, ownFields } from "./passed_headers.ts";
import type { ForwardRun, PeerClient } from "./peer_client.ts";
import { placementCandidates } from "./placement_candidates.ts";
import { readBody } from "./read_body.ts";
import { type RefusalReason, REFUSALS } from "./refusals.ts";
import type { RequestHeaderNames } from "./settings.ts";

/** Time that a caller without a deadline is given. */
const DEFAULT_DEADLINE_MS = 10_000;

/** Daemons that are asked for one request; refusals of daemons cost little, but not nothing. */
const MAX_HOPS = 4;

/** Time after which a caller refused without a known wait may return. */
const RETRY_AFTER_MS = 250;

/** Spread of Retry-After, so that refused callers do not return together. */
const RETRY_AFTER_SPREAD = 0.5;

/** Rank of calls within requests: the work done so far is lost without them. */
const NESTED_RANK = 0;

/** Lowest priority that is told apart; ranks of callers' requests begin at 1. */
const MAX_PRIORITY = 3;

/** Options of `createCallerHandler`. */
export interface CreateCallerHandlerOptions {
  readonly names: RequestHeaderNames;
  readonly zone: string;
  readonly address: string;
  readonly service: string;
  readonly peerPort: number;
  readonly catalog: Catalog;
  readonly owner: Owner;
  readonly ownerState: () => OwnerState;
  readonly peers: PeerClient;
  readonly reports: UpstreamReports;
  readonly shares: TargetShares;
  readonly budgets: ServiceBudgets;
  readonly isStopping: () => boolean;
  /** Whether new requests are refused because the process ends too soon. */
  readonly refusesNew: () => boolean;
  readonly onPeerState: (peer: Endpoint, state: OwnerState) => void;
  readonly onResult: (result: CallerResult) => void;
}

/** Handles the requests of this VM's clients and upstream. */
export interface CallerHandler {
  handle(request: IncomingMessage, response: ServerResponse): void;
  /** Requests that have no answer yet. */
  readonly inFlight: number;
  /** Ends the attempts of all requests in flight; each is answered at once. */
  cutAll(): void;
}

interface Attempt {
  readonly verdict: OwnerVerdict;
  readonly answer: OwnedAnswer | undefined;
}

/** Creates the handler of requests from this VM's clients and upstream. */
export function createCallerHandler(
  options: CreateCallerHandlerOptions,
): CallerHandler {
  const { names, catalog, reports } = options;
  const own = ownFields(names);
  const waits = new CallerWaits();
  const active = new Set<CallerRequest>();

  async function handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const requestId = request.headers[names.requestId];
    const caller: CallerRequest = {
      request,
      response,
      requestId: typeof requestId === "string" ? requestId : "",
      startedMs: performance.now(),
      attempts: [],
      isGone: false,
      cancel: undefined,
    };
    active.add(caller);
    response.on("close", () => {
      active.delete(caller);
      if (response.writableFinished) return;
      caller.isGone = true;
      caller.cancel?.();
    });
    const index = catalog.index;
    const limits = index?.configuration.limits;
    const body = await readBody(request, limits?.maxBodyBytes ?? 1_048_576);
    if (body.isErr) {
      if (body.error === "gone") return;
      return refuse(caller, "body_too_large");
    }
    if (caller.requestId === "") {
      return refuse(caller, "bad_request");
    }
    if (index === undefined) return refuse(caller, "starting");
    if (options.refusesNew()) return refuse(caller, "stopping");
    const host = request.headers.host ?? "";
    const route = matchRoute(index, { host, path: request.url! });
    if (route === undefined) return refuse(caller, "no_route");
    const deadlineMs = Number(request.headers[names.timeLeftMs]) ||
      DEFAULT_DEADLINE_MS;
    const waitedBeforeMs = waits.waitedMs(route.name, deadlineMs);
    const isNested = options.owner.runsParentOf(caller.requestId);
    const service = options.shares.next(route);
    options.budgets.recordRequest(service);
    const routed: RoutedRequest = Object.assign(caller, {
      route,
      version: index.configuration.version,
      service,
      rank: isNested
        ? NESTED_RANK
        : 1 + Math.min(MAX_PRIORITY, Math.floor(route.priority)),
      headers: endToEndHeaders(request.rawHeaders, own),
      body: body.value,
      endAtMs: caller.startedMs + Math.min(deadlineMs, route.timeoutMs),
      objectiveAtMs: caller.startedMs + route.latencyObjectiveMs -
        waitedBeforeMs,
      waitedBeforeMs,
      isNested,
    });
    await serve(routed);
  }

  async function serve(routed: RoutedRequest): Promise<void> {
    const { route } = routed;
    const tried = new Set<string>();
    let upstreamsReached = 0;
    let mayHaveRun = false;
    let fallback: OwnedAnswer | undefined;
    let retryAfterMs = RETRY_AFTER_MS;
    let reason: RefusalReason = "no_upstream";
    for (let hop = 0; hop < MAX_HOPS; hop += 1) {
      const candidates = placementCandidates({
        route,
        service: routed.service,
        rank: routed.rank,
        catalog,
        reports,
        ownZone: options.zone,
        tried,
      });
      const chosen = choosePlacement({
        candidates,
        latencyObjectiveMs: route.latencyObjectiveMs,
        random: Math.random,
      });
      if (chosen === undefined) break;
      tried.add(chosen.id);
      const untried = candidates.length - 1;
      const attempt = await send(routed, chosen);
      if (routed.isGone) return finish(routed, "gone", 0);
      const { verdict, answer } = attempt;
      if (answer !== undefined) fallback = answer;
      if (verdict.kind !== "not_run") mayHaveRun = true;
      if (verdict.kind !== "not_run" || verdict.reachedUpstream) {
        upstreamsReached += 1;
      }
      if (verdict.kind === "not_run" && verdict.retryAfterMs > 0) {
        retryAfterMs = verdict.retryAfterMs;
      }
      const step = decideNextStep({
        verdict,
        status: answer?.status,
        requestClass: route.requestClass,
        upstreamsReached,
        maxAttempts: route.maxAttempts,
        timeLeftMs: routed.endAtMs - performance.now(),
        neededMs: chosen.serviceMs,
        untried: verdict.kind === "not_run" && verdict.reason === "busy"
          ? candidates.filter((other) =>
            other !== chosen && mayHaveRoom(routed, other)
          ).length
          : untried,
        takeToken: () => options.budgets.tryTake(routed.service),
      });
      if (step.kind === "deliver") return deliver(routed, answer!);
      if (step.kind === "refuse") {
        reason = step.reason;
        break;
      }
      // An upstream without room says more than others that are leaving or gone.
      if (verdict.kind === "not_run" && reason !== "busy") {
        reason = notRunReason(verdict);
      }
    }
    if (fallback !== undefined) return deliver(routed, fallback);
    if (mayHaveRun && REFUSALS[reason].status === 503) reason = "cut";
    refuse(routed, reason, retryAfterMs);
  }

  /** Whether asking another upstream after a refusal for lack of room is worth the bytes. */
  function mayHaveRoom(
    { objectiveAtMs, isNested, endAtMs }: RoutedRequest,
    { waitMs, serviceMs }: PlacementCandidate,
  ): boolean {
    const finishedAtMs = performance.now() + waitMs + serviceMs;
    return waitMs === 0 || finishedAtMs <= (isNested ? endAtMs : objectiveAtMs);
  }

  async function send(
    routed: RoutedRequest,
    chosen: PlacementCandidate,
  ): Promise<Attempt> {
    const { route, rank } = routed;
    const nowMs = performance.now();
    const objectiveLeftMs = routed.objectiveAtMs - nowMs;
    const timeLeftMs = routed.endAtMs - nowMs;
    const ticket: ForwardTicket = {
      upstreamId: chosen.id,
      service: routed.service,
      route: route.name,
      requestClass: route.requestClass,
      rank,
      timeLeftMs,
      objectiveLeftMs,
      isNested: routed.isNested,
      callerService: options.service,
      version: routed.version,
    };
    const owned: OwnedRequest = {
      ticket,
      requestId: routed.requestId,
      method: routed.request.method!,
      path: routed.request.url!,
      headers: routed.headers,
      body: routed.body,
    };
    reports.begin(chosen.id);
    let isSilent = false;
    const run = start(owned, () => {
      isSilent = true;
      if (route.requestClass === "idempotent") run.cancel();
    });
    routed.cancel = () => run.cancel();
    const result = await run.ended;
    routed.cancel = undefined;
    if (result.state !== undefined) {
      reports.report(chosen.id, result.state.load);
    }
    reports.end(chosen.id, {
      result: placementResult(result, isSilent, routed.isGone),
      route: route.name,
      serviceMs: result.verdict.kind === "answered"
        ? result.verdict.serviceMs
        : undefined,
    });
    const { verdict, answer } = result;
    routed.attempts.push({
      upstreamId: chosen.id,
      verdict: verdict.kind,
      reason: verdict.kind === "answered"
        ? String(answer!.status)
        : isSilent
        ? `${verdict.reason}, silent`
        : verdict.reason,
      predictedWaitMs: Math.round(chosen.waitMs),
      predictedServiceMs: Math.round(chosen.serviceMs),
      durationMs: Math.round(performance.now() - nowMs),
    });
    return { verdict, answer };
  }

  function start(request: OwnedRequest, onSilent: () => void): ForwardRun {
    const { entry } = catalog.upstreams.get(request.ticket.upstreamId)!;
    if (entry.address === options.address) {
      const run = options.owner.run(request);
      const ended = run.ended.then((result) => ({
        ...result,
        state: options.ownerState(),
      }));
      return { ended, cancel: run.cancel };
    }
    const destination = { address: entry.address, port: options.peerPort };
    const run = options.peers.forward({ destination, request, onSilent });
    void run.ended.then(({ state }) => {
      if (state !== undefined) options.onPeerState(destination, state);
    });
    return run;
  }

  function deliver(
    routed: RoutedRequest,
    { status, headers, body }: OwnedAnswer,
  ): void {
    const { response } = routed;
    if (options.isStopping()) response.shouldKeepAlive = false;
    response.sendDate = false;
    const length = status === 204 || status === 304
      ? []
      : ["content-length", String(body.length)];
    response.writeHead(status, [...headers, ...length]);
    response.end(body);
    finish(routed, "answered", status);
  }

  function refuse(
    caller: CallerRequest,
    reason: RefusalReason,
    retryAfterMs = RETRY_AFTER_MS,
  ): void {
    const { request, response } = caller;
    const { status, message } = REFUSALS[reason];
    if (options.isStopping() || !request.complete) {
      response.shouldKeepAlive = false;
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
      const spread = 1 + RETRY_AFTER_SPREAD * Math.random();
      const seconds = retryAfterMs * spread / 1_000;
      fields.push("retry-after", seconds.toFixed(2));
    }
    response.writeHead(status, fields);
    response.end(body);
    finish(caller, reason, status);
  }

  function finish(
    caller: CallerRequest | RoutedRequest,
    outcome: CallerResult["outcome"],
    status: number,
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
      timeLeftMs: routed && Math.round(routed.endAtMs - nowMs),
      durationMs: Math.round(nowMs - caller.startedMs),
    });
  }

  return {
    handle: (request, response) => void handle(request, response),
    get inFlight() {
      return active.size;
    },
    cutAll() {
      for (const caller of active) caller.cancel?.();
    },
  };
}

function placementResult(
  { verdict, answer, state }: Awaited<ForwardRun["ended"]>,
  isSilent: boolean,
  isGone: boolean,
): PlacementResult {
  if (isSilent) return "unreachable";
  if (isGone) return "cancelled";
  if (verdict.kind === "answered") {
    return answer!.status >= 500 ? "failed" : "served";
  }
  if (verdict.kind === "unknown") {
    if (verdict.reason === "deadline") return "cancelled";
    return state === undefined ? "unreachable" : "failed";
  }
  if (verdict.reason === "connect_failed" || verdict.reason === "leaving") {
    return "unreachable";
  }
  return verdict.reason === "upstream_refused" ? "failed" : "refused";
}
