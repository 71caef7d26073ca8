import type { ConnectionAgents } from "./connection_agent.ts";
import { RankedAdmission, type RankedRequest } from "@tanagercove/admission";
import type { ReportedLoad } from "@tanagercove/placement";
import type { Endpoint } from "@tanagercove/types";
import { type Exchange, type ExchangeEnd, startExchange } from "./exchange.ts";
import type {
  ForwardTicket,
  NotRunReason,
  OwnerVerdict,
} from "./forwarding.ts";
import { deliveredHeaders, requestHeaders } from "./passed_headers.ts";
import { RouteTimes } from "./route_times.ts";
import type { RequestHeaderNames } from "./settings.ts";
import { judgeUpstreamAnswer } from "./upstream_answer.ts";
import type { UpstreamIdentity } from "./upstream_identity.ts";

/** A request for this VM's upstream. */
export interface OwnedRequest {
  readonly ticket: ForwardTicket;
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  /** End-to-end fields, names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Buffer | undefined;
}

/** Outcome of a request at this VM's upstream; the answer is set for `answered`. */
export interface OwnedResult {
  readonly verdict: OwnerVerdict;
  readonly answer: OwnedAnswer | undefined;
}

/** An upstream's whole answer. */
export interface OwnedAnswer {
  readonly status: number;
  /** End-to-end fields, names and values in turn. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** A request that is being run. */
export interface OwnedRun {
  readonly ended: Promise<OwnedResult>;
  cancel(): void;
}

/** Options of `createOwner`. */
export interface CreateOwnerOptions {
  readonly upstream: Endpoint;
  readonly localAddress: string;
  readonly agents: ConnectionAgents;
  readonly names: RequestHeaderNames;
  readonly maxAnswerBytes: number;
  readonly identity: UpstreamIdentity;
}

/** Runs requests on the upstream of this VM. */
export interface Owner {
  run(request: OwnedRequest): OwnedRun;
  /**
   * Whether the upstream makes a call for a request that it is running: the id
   * of a call is that of its request, a dot and an id of its own.
   */
  runsParentOf(requestId: string): boolean;
  load(): ReportedLoad;
  readonly running: number;
  readonly waiting: number;
  setSlots(slots: number): void;
  setLeaving(leaving: boolean): void;
  close(): void;
}

/** Slots until the upstream's own entry is known. */
const INITIAL_SLOTS = 8;

/** The upstream is on the same VM, so a connection that takes longer will not come about. */
const CONNECT_TIMEOUT_MS = 500;

/** Time in which the upstream's own word on the deadline may still arrive. */
const UPSTREAM_GRACE_MS = 20;

/** Creates the owner of this VM's upstream. */
export function createOwner(options: CreateOwnerOptions): Owner {
  const admission = new RankedAdmission({ slots: INITIAL_SLOTS });
  const times = new RouteTimes();
  const runningIds = new Set<string>();

  function run(request: OwnedRequest): OwnedRun {
    const { ticket } = request;
    const nowMs = performance.now();
    const deadlineAtMs = nowMs + ticket.timeLeftMs;
    let cancelled = false;
    let exchange: Exchange | undefined;
    const ranked = {
      rank: ticket.rank,
      objectiveAtMs: nowMs + ticket.objectiveLeftMs,
      neededMs: times.expectedMs(ticket.route),
    };
    const admitted = admission.admit({
      ...ranked,
      deadlineAtMs,
      isNested: ticket.isNested,
    });

    async function result(): Promise<OwnedResult> {
      const granted = await admitted.granted;
      if (granted.isErr) return refused(granted.error, ranked);
      const grant = granted.value;
      if (cancelled) {
        grant.release({ serviceTimeMs: undefined });
        return refused("cancelled", ranked);
      }
      const timeLeftMs = deadlineAtMs - performance.now();
      exchange = startExchange({
        agent: options.agents.of(ticket.requestClass),
        destination: options.upstream,
        localAddress: options.localAddress,
        method: request.method,
        path: request.path,
        headers: requestHeaders(request, {
          names: options.names,
          timeLeftMs,
          upstreamId: options.identity.idFor(ticket),
        }),
        body: request.body,
        timeoutMs: timeLeftMs + UPSTREAM_GRACE_MS,
        connectTimeoutMs: CONNECT_TIMEOUT_MS,
        maxAnswerBytes: options.maxAnswerBytes,
      });
      runningIds.add(request.requestId);
      const end = await exchange.ended;
      runningIds.delete(request.requestId);
      const judged = conclude(request, end, ranked);
      const isAnswered = judged.verdict.kind === "answered";
      if (isAnswered) times.record(ticket.route, end.durationMs);
      grant.release({
        serviceTimeMs: isAnswered ? end.durationMs : undefined,
      });
      return judged;
    }

    return {
      ended: result(),
      cancel() {
        cancelled = true;
        admitted.cancel();
        exchange?.cancel();
      },
    };
  }

  function refused(
    reason: NotRunReason,
    ranked: RankedRequest,
    reachedUpstream = false,
  ): OwnedResult {
    const retryAfterMs = admission.retryAfterMs(ranked);
    return {
      verdict: { kind: "not_run", reason, reachedUpstream, retryAfterMs },
      answer: undefined,
    };
  }

  function conclude(
    request: OwnedRequest,
    end: ExchangeEnd,
    ranked: RankedRequest,
  ): OwnedResult {
    const { requestId } = request;
    const verdict = judgeUpstreamAnswer({
      end,
      requestId,
      names: options.names,
    });
    if (verdict.kind === "not_run") {
      if (verdict.reason === "upstream_changed") {
        void options.identity.noteRefused(request.ticket.upstreamId);
      }
      return refused(verdict.reason, ranked, verdict.reachedUpstream);
    }
    if (verdict.kind === "unknown") {
      return { verdict, answer: undefined };
    }
    if (end.kind !== "answered") throw new Error("Answered without an answer");
    return {
      verdict: { kind: "answered", serviceMs: end.durationMs },
      answer: {
        status: end.status,
        headers: deliveredHeaders(end.rawHeaders),
        body: end.body,
      },
    };
  }

  return {
    run,
    runsParentOf(requestId) {
      const dot = requestId.lastIndexOf(".");
      return dot > 0 && runningIds.has(requestId.slice(0, dot));
    },
    load: () => admission.load(),
    get running() {
      return admission.running;
    },
    get waiting() {
      return admission.waiting;
    },
    setSlots: (slots) => admission.setSlots(slots),
    setLeaving: (leaving) => admission.setLeaving(leaving),
    close: () => admission.close(),
  };
}
