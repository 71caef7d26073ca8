import { performance } from "node:perf_hooks";
import { resolveRoute, type RoutingTable } from "@tanagercove/routing";
import { HEADERS, type Reason, type Vm } from "@tanagercove/types";
import { classifyExchange, type Verdict } from "./classify_exchange.ts";
import type { ActiveRequest } from "./connection_tracker.ts";
import type { ConnectionPools } from "./connections.ts";
import { type Division, DIVISIONS } from "./divisions.ts";
import { Exchange, type ExchangeEnd } from "./exchange.ts";
import type { IdentityCheck } from "./identity.ts";
import type { AttemptResult, BalancingPort, RetriesPort } from "./ports.ts";
import { readRequestBody } from "./request_body.ts";
import type { RequestCounters } from "./request_counters.ts";
import { readRequestHead, type RequestHead } from "./request_head.ts";
import type { TimingReporter } from "./timing.ts";
import { deliver, refuse } from "./write_response.ts";

/** Options of `createCallerHandler`. */
export interface CallerHandlerOptions {
  readonly division: Division;
  readonly zone: string;
  readonly defaultDeadlineMs: number;
  readonly maxBodyBytes: number;
  readonly bufferBytes: number;
  readonly maxDepth: number;
  readonly identity: IdentityCheck;
  readonly routingTable: () => RoutingTable | undefined;
  readonly whenFresh: () => Promise<void> | undefined;
  /** Ids of VMs that get no new work although they are in the routing table. */
  readonly leavingVms: () => ReadonlySet<string>;
  readonly isClosing: () => boolean;
  readonly nextRequestId: () => string;
  readonly pools: ConnectionPools;
  readonly balancing: BalancingPort;
  readonly retries: RetriesPort;
  readonly counters: RequestCounters;
  readonly timing: TimingReporter;
}

/** Handles one request of a caller. */
export type CallerHandler = (
  active: ActiveRequest,
  fromTrustedAddress: boolean,
) => Promise<void>;

const METHODS: ReadonlySet<string> = new Set([
  "GET",
  "HEAD",
  "OPTIONS",
  "POST",
  "PUT",
  "PATCH",
  "DELETE",
]);

/** Whether a method counts as idempotent. PUT and DELETE do not here, although HTTP defines them as idempotent. */
export function isIdempotent(method: string): boolean {
  return method === "GET" || method === "HEAD" || method === "OPTIONS";
}

/** A completely received request whose head has passed all checks. */
interface CompleteRequest {
  readonly active: ActiveRequest;
  readonly head: RequestHead;
  readonly service: string;
  readonly customer: string;
  readonly body: Buffer | undefined;
  readonly requestId: string;
  readonly deadlineAtMs: number;
  readonly completeAtMs: number;
}

/** One attempt to get a response from an upstream. */
interface Attempt {
  readonly exchange: Exchange;
  readonly end: ExchangeEnd;
  readonly verdict: Verdict;
}

/** Creates the handler of callers' requests. */
export function createCallerHandler(
  options: CallerHandlerOptions,
): CallerHandler {
  const { balancing, counters, retries } = options;
  const division = DIVISIONS[options.division];

  return async (active, fromTrustedAddress) => {
    const receivedAtMs = performance.now();
    const requestId = options.nextRequestId();
    if (options.isClosing()) active.response.shouldKeepAlive = false;
    const head = readRequestHead(active.request.rawHeaders);
    const problem = checkHead(active, head, fromTrustedAddress);
    if (problem !== undefined) return fail(active, requestId, problem);
    const { service, customer, bodySize } = head!;
    let body: Buffer | undefined;
    if (bodySize !== 0) {
      const read = await readRequestBody(active, {
        maxBytes: options.maxBodyBytes,
        size: bodySize,
      });
      if (read.isErr && read.error === undefined) {
        return counters.recordCancelled(false);
      }
      if (read.isErr) return fail(active, requestId, read.error!);
      body = read.value;
    }
    const fresh = options.whenFresh();
    if (fresh !== undefined) await fresh;
    if (active.cancelled) return counters.recordCancelled(false);
    await route({
      active,
      head: head!,
      service: service!,
      customer: customer!,
      body,
      requestId,
      deadlineAtMs: receivedAtMs +
        (head!.deadlineMs ?? options.defaultDeadlineMs),
      completeAtMs: bodySize === 0 ? receivedAtMs : performance.now(),
    });
  };

  function checkHead(
    { request }: ActiveRequest,
    head: RequestHead | undefined,
    fromTrustedAddress: boolean,
  ): Reason | undefined {
    if (!METHODS.has(request.method!)) return "method_unknown";
    if (head === undefined || !request.url!.startsWith("/")) {
      return "bad_request";
    }
    if (!head.hasHost && request.httpVersion === "1.1") return "bad_request";
    if (!head.customer) return "customer_missing";
    if (!head.service) return "bad_request";
    if (!options.identity.accepts(head, fromTrustedAddress)) {
      return "identity_refused";
    }
    return head.depth > options.maxDepth ? "too_deep" : undefined;
  }

  async function route(request: CompleteRequest): Promise<void> {
    const { active, requestId } = request;
    if (options.isClosing()) return fail(active, requestId, "leaving");
    const table = options.routingTable();
    if (table === undefined) return fail(active, requestId, "starting");
    const vms = resolveRoute(table, request);
    if (vms.isErr) return fail(active, requestId, vms.error);
    const last = await attemptWithRetries(request, {
      vms: vms.value,
      revision: table.revision,
    });
    if (active.cancelled) return;
    if (last.verdict.outcome !== "answered") {
      return failWithVerdict(request, last.verdict);
    }
    await answer(request, last as Attempt);
  }

  async function attemptWithRetries(
    request: CompleteRequest,
    { vms, revision }: {
      readonly vms: readonly Vm[];
      readonly revision: number;
    },
  ): Promise<Attempt | { readonly verdict: Verdict }> {
    const idempotent = isIdempotent(request.active.request.method!);
    const leaving = options.leavingVms();
    let exclude = leaving;
    let unknown: Verdict | undefined;
    let last: Attempt | undefined;
    for (let attempt = 1;; attempt += 1) {
      const timeLeftMs = request.deadlineAtMs - performance.now();
      if (timeLeftMs <= 0) {
        return {
          verdict: unknown ?? { outcome: "not_run", reason: "deadline" },
        };
      }
      const vm = choose(vms, exclude) ??
        // No untried upstream is left. After an attempt with an unknown outcome, such as a broken connection, the
        // upstreams already tried may be chosen again. After a refusal they are not.
        (last?.verdict.outcome === "unknown"
          ? choose(vms, leaving)
          : undefined);
      if (vm === undefined) {
        const noUpstream: Verdict = {
          outcome: "not_run",
          reason: "no_upstream",
        };
        return { verdict: unknown ?? last?.verdict ?? noUpstream };
      }
      if (attempt === 1) retries.recordFirstAttempt();
      else counters.retries += 1;
      last = await attemptOn(vm, { request, revision, timeLeftMs });
      const { verdict } = last;
      if (verdict.outcome === "answered" || request.active.cancelled) {
        return last;
      }
      if (verdict.outcome === "unknown") unknown ??= verdict;
      const decision = retries.decide({
        ...verdict,
        idempotent,
        attempt,
        timeLeftMs: request.deadlineAtMs - performance.now(),
      });
      if (decision === "give_up") break;
      exclude = new Set([...exclude, vm.id]);
    }
    // A later refusal does not change that an earlier attempt may have run.
    return { verdict: unknown ?? last.verdict };
  }

  function choose(
    candidates: readonly Vm[],
    exclude: ReadonlySet<string>,
  ): Vm | undefined {
    return balancing.choose({
      candidates,
      exclude,
      ownZone: options.zone,
      nowMs: performance.now(),
      random: Math.random,
    });
  }

  async function attemptOn(vm: Vm, { request, revision, timeLeftMs }: {
    readonly request: CompleteRequest;
    readonly revision: number;
    readonly timeLeftMs: number;
  }): Promise<Attempt> {
    const { active } = request;
    const { method, url } = active.request;
    balancing.observations.begin(vm.id);
    const exchange = new Exchange({
      dispatcher: options.pools.dispatcherFor(division.destination(vm)),
      method: method!,
      path: division.path(url!),
      headers: division.headers({ ...request, revision, timeLeftMs }),
      body: request.body,
      timeoutMs: timeLeftMs + division.deadlineGraceMs,
      bufferBytes: options.bufferBytes,
    });
    active.onCancel = () => exchange.abort("cancelled");
    const end = await exchange.ended;
    const verdict = classifyExchange({ hop: division.hop, ...end });
    if (end.head?.load !== undefined) {
      balancing.observations.reportLoad(vm.id, end.head.load);
    }
    balancing.observations.end(vm.id, {
      result: attemptResult(verdict, active.cancelled),
      latencyMs: end.durationMs,
    });
    if (active.cancelled) counters.recordCancelled(end.requestBegan);
    return { exchange, end, verdict };
  }

  async function answer(
    request: CompleteRequest,
    { exchange, end }: Attempt,
  ): Promise<void> {
    const { active, requestId } = request;
    const { response } = active;
    if (options.isClosing()) response.shouldKeepAlive = false;
    const fields = [
      HEADERS.outcome,
      "answered",
      HEADERS.requestId,
      requestId,
    ];
    const upstreamMs = division.upstreamMs(end);
    if (!end.continues && upstreamMs !== undefined) {
      const totalMs = performance.now() - request.completeAtMs;
      counters.recordAddedTime(totalMs - upstreamMs);
    }
    options.timing.addTo(fields, { ...request, side: "caller", end });
    counters.record({ outcome: "answered" });
    const method = active.request.method!;
    const complete = await deliver({ response, method, exchange, end, fields });
    if (!complete) counters.brokenOff += 1;
  }

  function failWithVerdict(request: CompleteRequest, verdict: Verdict): void {
    if (verdict.outcome === "answered") return;
    fail(request.active, request.requestId, verdict.reason, verdict.outcome);
  }

  function fail(
    { request, response }: ActiveRequest,
    requestId: string,
    reason: Reason,
    outcome: "not_run" | "unknown" = "not_run",
  ): void {
    counters.record({ outcome, reason });
    if (options.isClosing()) response.shouldKeepAlive = false;
    const fields = [HEADERS.requestId, requestId];
    refuse({ request, response, outcome, reason, fields });
  }
}

/**
 * Attempt results for reasons why a request did not run. Only the reasons that show a fault of the upstream, or of the
 * path to the upstream, are listed. All other reasons give `not_run`.
 */
const NOT_RUN_RESULTS: Readonly<Partial<Record<Reason, AttemptResult>>> = {
  connect_failed: "unreachable",
  upstream_silent: "silent",
};

function attemptResult(verdict: Verdict, cancelled: boolean): AttemptResult {
  if (verdict.outcome === "answered") return "ok";
  if (cancelled) return "cancelled";
  if (verdict.outcome === "unknown") return "failed";
  return NOT_RUN_RESULTS[verdict.reason] ?? "not_run";
}
