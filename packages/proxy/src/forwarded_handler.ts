import { performance } from "node:perf_hooks";
import { checkAllowance, type RoutingTable } from "@tanagercove/routing";
import { HEADERS, type Reason } from "@tanagercove/types";
import { LOAD_HEADER, UPSTREAM_US_HEADER } from "./response_head.ts";
import { isIdempotent } from "./caller_handler.ts";
import { classifyExchange, type Verdict } from "./classify_exchange.ts";
import type { ActiveRequest } from "./connection_tracker.ts";
import type { ConnectionPools } from "./connections.ts";
import { FORWARD_PREFIX, hopHeaders } from "./divisions.ts";
import { Exchange, type ExchangeEnd } from "./exchange.ts";
import type { AdmissionPort, UpstreamWatchPort } from "./ports.ts";
import { readRequestBody } from "./request_body.ts";
import type { RequestCounters } from "./request_counters.ts";
import { readRequestHead, type RequestHead } from "./request_head.ts";
import type { TimingReporter } from "./timing.ts";
import { deliver, refuse } from "./write_response.ts";

/** Options of `createForwardedHandler`. */
export interface ForwardedHandlerOptions {
  readonly service: string;
  /** `IP:PORT` of the upstream of this VM. */
  readonly upstream: string;
  readonly defaultDeadlineMs: number;
  readonly maxBodyBytes: number;
  readonly bufferBytes: number;
  readonly routingTable: () => RoutingTable | undefined;
  readonly whenFresh: () => Promise<void> | undefined;
  readonly isLeaving: () => boolean;
  readonly isClosing: () => boolean;
  /** Load that the upstream last reported. */
  readonly load: () => number | undefined;
  readonly pools: ConnectionPools;
  readonly admission: AdmissionPort;
  readonly upstreamWatch: UpstreamWatchPort;
  readonly counters: RequestCounters;
  readonly timing: TimingReporter;
}

/** A completely received forwarded request. */
interface ForwardedRequest {
  readonly active: ActiveRequest;
  readonly head: RequestHead;
  readonly customer: string;
  readonly body: Buffer | undefined;
  readonly deadlineAtMs: number;
  readonly completeAtMs: number;
}

/** Creates the owner daemon's handler of requests that other daemons forward. */
export function createForwardedHandler(
  options: ForwardedHandlerOptions,
): (active: ActiveRequest) => Promise<void> {
  const { admission, counters, upstreamWatch } = options;

  return async (active) => {
    const receivedAtMs = performance.now();
    const head = readRequestHead(active.request.rawHeaders);
    if (head?.customer === undefined || head.requestId === undefined) {
      return fail(active, "bad_request");
    }
    let body: Buffer | undefined;
    if (head.bodySize !== 0) {
      const read = await readRequestBody(active, {
        maxBytes: options.maxBodyBytes,
        size: head.bodySize,
      });
      if (read.isErr && read.error === undefined) {
        return counters.recordCancelled(false);
      }
      if (read.isErr) return fail(active, read.error!);
      body = read.value;
    }
    const fresh = options.whenFresh();
    if (fresh !== undefined) await fresh;
    if (active.cancelled) return counters.recordCancelled(false);
    const problem = checkHead(head);
    if (problem !== undefined) return fail(active, problem);
    await admit({
      active,
      head,
      customer: head.customer,
      body,
      deadlineAtMs: receivedAtMs +
        (head.deadlineMs ?? options.defaultDeadlineMs),
      completeAtMs: head.bodySize === 0 ? receivedAtMs : performance.now(),
    });
  };

  function checkHead(head: RequestHead): Reason | undefined {
    if (options.isLeaving()) return "leaving";
    // This VM may have replaced a VM of another service at the same address.
    if (head.service !== options.service) return "no_upstream";
    const table = options.routingTable();
    if (table === undefined || table.revision < head.revision) return undefined;
    return checkAllowance(table, {
      customer: head.customer!,
      service: head.service,
    });
  }

  async function admit(request: ForwardedRequest): Promise<void> {
    const { active } = request;
    const idempotent = isIdempotent(active.request.method!);
    if (!upstreamWatch.admits({ idempotent })) {
      return fail(active, "upstream_silent");
    }
    const queuedAtMs = performance.now();
    const controller = new AbortController();
    active.onCancel = () => controller.abort();
    const admitted = await admission.admit({
      idempotent,
      deadlineMs: request.deadlineAtMs - performance.now(),
      signal: controller.signal,
    });
    if (admitted.isErr) {
      if (active.cancelled) return counters.recordCancelled(false);
      return fail(active, admitted.error);
    }
    try {
      if (active.cancelled) return counters.recordCancelled(false);
      await forward(request, performance.now() - queuedAtMs);
    } finally {
      admitted.value.release();
    }
  }

  async function forward(
    request: ForwardedRequest,
    queueMs: number,
  ): Promise<void> {
    const { active, head, customer } = request;
    const timeLeftMs = request.deadlineAtMs - performance.now();
    if (timeLeftMs <= 0) return fail(active, "deadline");
    upstreamWatch.begin();
    const exchange = new Exchange({
      dispatcher: options.pools.dispatcherFor(options.upstream),
      method: active.request.method!,
      path: active.request.url!.slice(FORWARD_PREFIX.length),
      headers: hopHeaders(head, {
        requestId: head.requestId!,
        customer,
        timeLeftMs,
        depth: head.depth,
      }),
      body: request.body,
      timeoutMs: timeLeftMs,
      bufferBytes: options.bufferBytes,
    });
    active.onCancel = () => exchange.abort("cancelled");
    const end = await exchange.ended;
    const verdict = classifyExchange({ hop: "upstream", ...end });
    upstreamWatch.end(watchResult(verdict, active.cancelled), end.durationMs);
    if (active.cancelled) return counters.recordCancelled(end.requestBegan);
    if (verdict.outcome !== "answered") {
      return fail(active, verdict.reason, verdict.outcome);
    }
    await answer(request, { exchange, end, queueMs });
  }

  async function answer(
    request: ForwardedRequest,
    { exchange, end, queueMs }: {
      readonly exchange: Exchange;
      readonly end: ExchangeEnd;
      readonly queueMs: number;
    },
  ): Promise<void> {
    const { response } = request.active;
    counters.record({ outcome: "answered" });
    const fields = [HEADERS.outcome, "answered"];
    addLoad(fields);
    if (!end.continues) {
      const totalMs = performance.now() - request.completeAtMs;
      counters.recordAddedTime(totalMs - end.durationMs);
      fields.push(
        UPSTREAM_US_HEADER,
        String(Math.round(end.durationMs * 1_000)),
      );
    }
    options.timing.addTo(fields, { ...request, side: "owner", queueMs, end });
    if (options.isClosing()) response.shouldKeepAlive = false;
    const method = request.active.request.method!;
    const complete = await deliver({ response, method, exchange, end, fields });
    if (!complete) counters.brokenOff += 1;
  }

  function fail(
    { request, response }: ActiveRequest,
    reason: Reason,
    outcome: "not_run" | "unknown" = "not_run",
  ): void {
    counters.record({ outcome, reason });
    if (options.isClosing()) response.shouldKeepAlive = false;
    const fields: string[] = [];
    addLoad(fields);
    refuse({ request, response, outcome, reason, fields });
  }

  function addLoad(fields: string[]): void {
    const load = options.load();
    if (load !== undefined) fields.push(LOAD_HEADER, String(load));
  }
}

function watchResult(
  verdict: Verdict,
  cancelled: boolean,
): "answered" | "failed" | "abandoned" {
  if (verdict.outcome === "answered") return "answered";
  return cancelled || verdict.reason === "deadline" ? "abandoned" : "failed";
}
