import type { Socket } from "node:net";
import type { AnswerMemory } from "@tanagercove/memory";
import type { ConnectionAgents } from "./connection_agent.ts";
import {
  type AdmissionOrder,
  type AdmissionVerdict,
  CallRoom,
  type PreviewOptions,
  RankedAdmission,
  type RankedRequest,
  type ShareKeys,
} from "@tanagercove/admission";
import {
  type CapacityStatus,
  LearnedCapacity,
  type LimitChange,
} from "@tanagercove/capacity";
import type { IncomingBody } from "@tanagercove/channel";
import type { ColdStarts } from "./cold_starts.ts";
import type { ReportedLoad } from "@tanagercove/placement";
import type { Endpoint } from "@tanagercove/types";
import {
  type AnswerHead,
  type Exchange,
  type ExchangeEnd,
  startExchange,
} from "./exchange.ts";
import type {
  ForwardTicket,
  NotRunReason,
  OwnerVerdict,
} from "./forwarding.ts";
import { deliveredHeaders, requestHeaders } from "./passed_headers.ts";
import { OwnCalls } from "./own_calls.ts";
import type { RoomPolicy } from "./room_policy.ts";
import { RouteTimes } from "./route_times.ts";
import type { SendQueue } from "./send_queue.ts";
import { isSendableAnswer } from "./sendable_heads.ts";
import type { RequestHeaderNames } from "./settings.ts";
import {
  classifyUpstreamAnswer,
  classifyUpstreamHead,
} from "./upstream_answer.ts";
import { UpstreamLimit } from "./upstream_limit.ts";
import type { BodyRoom, UpstreamBodies } from "./upstream_bodies.ts";
import type { UpstreamIdentity } from "./upstream_identity.ts";
import {
  evidenceOfExchange,
  NOT_SENT,
  type VerdictEvidence,
} from "./verdict_evidence.ts";

/** A request for an upstream, with its ticket for the upstream's owner daemon. */
export interface OwnedRequest {
  readonly ticket: ForwardTicket;
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  /** End-to-end fields as alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer | undefined;
  /** The body of a forwarded request that has been announced and not sent; `body` is undefined then. */
  readonly incoming?: IncomingBody;
  /** Room for the body at the upstream, if it has been taken already. */
  readonly bodyRoom?: BodyRoom;
  /** IP of the VM whose daemon forwarded the request; undefined for requests of this VM. */
  readonly callerAddress?: string | undefined;
}

/** Outcome of a request at this VM's upstream; the answer is set only if the verdict is `answered`. */
export interface OwnedResult {
  readonly verdict: OwnerVerdict;
  readonly answer: OwnedAnswer | undefined;
  /** What the verdict rests on. */
  readonly evidence?: VerdictEvidence;
}

/** An upstream's complete answer. */
export interface OwnedAnswer {
  readonly status: number;
  /** End-to-end fields as alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer;
}

/** A request that waits for a slot or runs on this VM's upstream. */
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
  readonly answerMemory: AnswerMemory;
  readonly identity: UpstreamIdentity;
  readonly bodies: UpstreamBodies;
  readonly sendQueue: Pick<SendQueue, "wait">;
  /** Paces the requests while the upstream is cold; undefined if nothing calls for it. */
  readonly coldStarts?: ColdStarts | undefined;
  /** Called with the id of the upstream that a request was for, when the upstream says that it is leaving. */
  readonly onUpstreamLeaving: (upstreamId: string) => void;
  /** Called with the limit on its requests that the upstream names now; undefined for none. */
  readonly onLimit: (limitPerSecond: number | undefined) => void;
  /** Whether to learn how much the upstream takes well, if it tells how long work takes on its host; true by default. */
  readonly learnsCapacity?: boolean;
  /** Called when what is learnt comes into force, as the upstream tells how long work takes on its host. */
  readonly onCapacityInForce?: () => void;
  /** Called when the learned limit has changed, for good or for a trial. */
  readonly onCapacityChanged?: (change: LimitChange) => void;
  /** `by_attempt` by default. */
  readonly roomPolicy?: () => RoomPolicy;
  /** Whose share of the upstream a request takes; by default, all requests are of one caller. */
  readonly shareKeysOf?: (request: OwnedRequest) => ShareKeys;
  /** Called when a run is refused because a service has no room for its calls. */
  readonly onCallsRefused?: (service: string) => void;
}

/** A nested request that has ended. */
export interface NestedCall {
  readonly requestId: string;
  readonly service: string;
  /** Whether there was room for it, so that it was answered or failed for another reason. */
  readonly hadRoom: boolean;
}

/** What admission would decide on a request. */
export interface OwnerPreview {
  readonly verdict: AdmissionVerdict;
  /** Time that the request is expected to hold a slot. */
  readonly neededMs: number;
  readonly retryAfterMs: number;
}

/** Runs requests on the upstream of this VM. */
export interface Owner {
  run(request: OwnedRequest): OwnedRun;
  /** What admission would decide on a request that comes later, without an effect. */
  preview(request: OwnedRequest, later: PreviewOptions): OwnerPreview;
  /** Takes room for a body at the upstream; undefined if there is none. */
  reserveBody(sizeBytes: number): BodyRoom | undefined;
  /**
   * Whether the upstream sends a request as part of handling another one that it
   * is running. The id of such a nested request is its parent's id, a dot and a
   * suffix.
   */
  runsParentOf(requestId: string): boolean;
  /** Records how a nested request ended that `runsParentOf` knew at its start. */
  recordCall(call: NestedCall): void;
  /** Records that a nested request begins; the returned function is called when it has ended. */
  beginNested(requestId: string): () => void;
  /** What was learnt of the upstream; undefined if that is switched off. */
  capacityStatus(): CapacityStatus | undefined;
  load(): ReportedLoad;
  readonly running: number;
  readonly waiting: number;
  setSlots(slots: number): void;
  setLeaving(leaving: boolean): void;
  setOrder(order: AdmissionOrder): void;
  close(): void;
}

/** Slots assumed until the catalog has the upstream's entry. */
const INITIAL_SLOTS = 8;

/** The upstream is on the same VM, so a connection that takes longer to open has failed. */
const CONNECT_TIMEOUT_MS = 500;

/** Time after the deadline in which the upstream may still answer that the deadline has passed. */
const UPSTREAM_GRACE_MS = 20;

function parentIdOf(requestId: string): string | undefined {
  const dot = requestId.lastIndexOf(".");
  return dot > 0 ? requestId.slice(0, dot) : undefined;
}

interface RankedOwnedRequest extends RankedRequest {
  readonly deadlineAtMs: number;
  readonly shareKeys: ShareKeys | undefined;
}

/** A request at the upstream. */
interface RunningRequest {
  readonly route: string;
  /** Times of the requests that it sends; undefined without any. */
  calls: OwnCalls | undefined;
}

/** Creates the owner of this VM's upstream. */
export function createOwner(options: CreateOwnerOptions): Owner {
  const capacity = options.learnsCapacity === false
    ? undefined
    : new LearnedCapacity({
      slots: INITIAL_SLOTS,
      onInForce: options.onCapacityInForce,
      onLimitChanged: options.onCapacityChanged,
    });
  const admission = new RankedAdmission({
    slots: INITIAL_SLOTS,
    ...(capacity && { capacity }),
    pace: options.coldStarts,
  });
  const { coldStarts } = options;
  coldStarts?.onPaceChanged(() => admission.applyPace());
  const routeTimes = new RouteTimes();
  const limit = new UpstreamLimit({
    onChange(limitPerSecond) {
      admission.setLimit(limitPerSecond);
      options.onLimit(limitPerSecond);
    },
  });
  const calls = new CallRoom({
    nowMs: () => performance.now(),
    random: Math.random,
  });
  const runningById = new Map<string, RunningRequest>();
  const extraMs = (route: string) => capacity?.extraMs(route) ?? 0;

  function rankedRequest(request: OwnedRequest): RankedOwnedRequest {
    const { ticket } = request;
    const nowMs = performance.now();
    return {
      rank: ticket.rank,
      objectiveAtMs: nowMs + ticket.objectiveLeftMs,
      neededMs: routeTimes.expectedMs(ticket.route) + extraMs(ticket.route),
      deadlineAtMs: nowMs + ticket.timeLeftMs,
      shareKeys: options.shareKeysOf?.(request),
    };
  }

  function run(request: OwnedRequest): OwnedRun {
    const { ticket, body } = request;
    let cancelled = false;
    let exchange: Exchange | undefined;
    const ranked = rankedRequest(request);
    const { deadlineAtMs } = ranked;
    const calledService = serviceWithoutRoom(ticket);
    if (calledService !== undefined) {
      options.onCallsRefused?.(calledService);
      // Its calls would not be served within its deadline, at this upstream as at any other.
      return refusedRun("deadline", ranked);
    }
    const room = request.bodyRoom ??
      (body && options.bodies.reserve(body.length));
    if (body !== undefined && room === undefined) {
      return refusedRun("busy", ranked);
    }
    const admitted = admission.admit({
      ...ranked,
      isNested: ticket.isNested,
      mayWait: ticket.mayWait,
    });

    async function runWhenAdmitted(): Promise<OwnedResult> {
      const granted = await admitted.granted;
      if (granted.isErr) {
        if (granted.error === "busy") coldStarts?.recordRefusal();
        return refusedResult(granted.error, ranked);
      }
      const grant = granted.value;
      let serviceTimeMs: number | undefined;
      let wasSent = false;
      try {
        await options.sendQueue.wait();
        if (cancelled) return refusedResult("cancelled", ranked);
        const timeLeftMs = deadlineAtMs - performance.now();
        if (timeLeftMs <= 0) return refusedResult("deadline", ranked);
        const { requestId } = request;
        const { names } = options;
        const upstreamId = options.identity.idFor(ticket);
        exchange = startExchange({
          agent: options.agents.forRequest({
            requestClass: ticket.requestClass,
            requestId,
          }),
          destination: options.upstream,
          localAddress: options.localAddress,
          method: request.method,
          path: request.path,
          headers: requestHeaders(request, {
            names,
            timeLeftMs,
            upstreamId,
          }),
          body: request.body,
          timeoutMs: timeLeftMs + UPSTREAM_GRACE_MS,
          connectTimeoutMs: CONNECT_TIMEOUT_MS,
          maxAnswerBytes: options.maxAnswerBytes,
          answerMemory: options.answerMemory,
          acceptsHead: (head) =>
            classifyUpstreamHead({ head, requestId, names }).kind !== "unknown",
          closesAfter: (head, socket) =>
            !mayKeepAfter(head, { socket, requestId }),
          onSent(connection) {
            grant.markSent();
            coldStarts?.begin(connection);
          },
        });
        wasSent = true;
        runningById.set(requestId, { route: ticket.route, calls: undefined });
        const end = await exchange.ended;
        const ownedResult = resultOfExchange(request, end, {
          ranked,
          upstreamId,
        });
        if (ownedResult.verdict.kind === "answered") {
          // A failure may come at once, and tells nothing of the speed.
          if (ownedResult.answer!.status < 400) {
            capacity?.recordRun({
              route: ticket.route,
              serviceMs: end.durationMs,
              ownCallsMs: runningById.get(requestId)?.calls?.waitedMs ?? 0,
              concurrency: grant.concurrency,
            });
          }
          routeTimes.record(
            ticket.route,
            Math.max(0, end.durationMs - extraMs(ticket.route)),
          );
          serviceTimeMs = end.durationMs;
        }
        return ownedResult;
      } finally {
        if (runningById.delete(request.requestId)) {
          calls.recordRun(ticket.route);
        }
        grant.release({ serviceTimeMs, wasSent });
      }
    }

    return {
      ended: runWhenAdmitted().finally(() => room?.close()),
      cancel() {
        cancelled = true;
        admitted.cancel();
        exchange?.cancel();
      },
    };
  }

  function serviceWithoutRoom(
    { route, isNested }: ForwardTicket,
  ): string | undefined {
    const policy = options.roomPolicy?.() ?? "by_attempt";
    return isNested || policy === "by_attempt"
      ? undefined
      : calls.serviceWithoutRoom(route);
  }

  function parentOf(requestId: string): RunningRequest | undefined {
    const parentId = parentIdOf(requestId);
    return parentId === undefined ? undefined : runningById.get(parentId);
  }

  /**
   * Whether a connection may carry another request after an answer that may be written on it once more; a refusal is
   * recorded.
   */
  function mayKeepAfter(
    head: AnswerHead,
    { socket, requestId }: {
      readonly socket: Socket;
      readonly requestId: string;
    },
  ): boolean {
    const { agents, names } = options;
    // Without an id, a repetition could not be told from the answer to the next request on the connection.
    if (head.headers[names.requestId] === undefined) return false;
    const { kind } = classifyUpstreamHead({ head, requestId, names });
    return kind !== "not_run" || agents.recordRefusal(socket, requestId);
  }

  function refusedRun(
    reason: NotRunReason,
    ranked: RankedOwnedRequest,
  ): OwnedRun {
    const ended = Promise.resolve(refusedResult(reason, ranked));
    return { ended, cancel: () => {} };
  }

  function refusedResult(
    reason: NotRunReason,
    ranked: RankedOwnedRequest,
    evidence = NOT_SENT,
  ): OwnedResult {
    const retryAfterMs = admission.retryAfterMs(ranked);
    const reachedUpstream = evidence.kind === "answer";
    return {
      verdict: { kind: "not_run", reason, reachedUpstream, retryAfterMs },
      answer: undefined,
      evidence,
    };
  }

  function resultOfExchange(
    request: OwnedRequest,
    end: ExchangeEnd,
    { ranked, upstreamId }: {
      readonly ranked: RankedOwnedRequest;
      readonly upstreamId: string;
    },
  ): OwnedResult {
    const { requestId } = request;
    const evidence = evidenceOfExchange(end, options.names);
    const verdict = classifyUpstreamAnswer({
      end,
      requestId,
      names: options.names,
    });
    coldStarts?.recordExchange({ end, verdict, upstreamId });
    if (end.kind === "answered" && verdict.kind !== "unknown") {
      recordNotices(request, end.headers);
    }
    if (verdict.kind === "not_run") {
      if (verdict.reason === "upstream_changed") {
        void options.identity.refetchAfterRefusal(request.ticket.upstreamId);
      }
      return refusedResult(verdict.reason, ranked, evidence);
    }
    if (verdict.kind === "unknown") {
      return { verdict, answer: undefined, evidence };
    }
    if (end.kind !== "answered") throw new Error("Exchange has no answer");
    const { status, body } = end;
    const headers = deliveredHeaders(end.rawHeaders);
    if (!isSendableAnswer({ status, headers })) {
      return {
        verdict: { kind: "unknown", reason: "malformed" },
        answer: undefined,
        evidence,
      };
    }
    return {
      verdict: { kind: "answered", serviceMs: end.durationMs },
      answer: { status, headers, body },
      evidence,
    };
  }

  /** Records what the upstream says of itself in an answer. */
  function recordNotices(
    { ticket, requestId }: OwnedRequest,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): void {
    // Any process at this address may refuse a request for another upstream without its id.
    if (headers[options.names.requestId] !== requestId) return;
    limit.record(headers[options.names.limitPerSecond]);
    capacity?.recordField(headers[options.names.load]);
    if (headers[options.names.leaving] === undefined) return;
    options.onUpstreamLeaving(ticket.upstreamId);
  }

  function load(): ReportedLoad {
    if (!capacity?.isInForce) return admission.load();
    return {
      ...admission.load(),
      capacity: {
        concurrencyLimit: capacity.concurrencyLimit,
        workRate: Math.round(100 * capacity.workRate) / 100,
        coldForMs: 0,
        freeBodyBytes: options.bodies.freeBytes,
      },
    };
  }

  return {
    run,
    preview(request, later) {
      const { ticket } = request;
      const { isNested, mayWait } = ticket;
      const ranked = rankedRequest(request);
      const hasNoCalls = serviceWithoutRoom(ticket) !== undefined;
      return {
        verdict: hasNoCalls
          ? { kind: "refuse", reason: "deadline" }
          : admission.preview({ ...ranked, isNested, mayWait }, later),
        neededMs: ranked.neededMs,
        retryAfterMs: admission.retryAfterMs(ranked),
      };
    },
    reserveBody: (sizeBytes) => options.bodies.reserve(sizeBytes),
    runsParentOf: (requestId) => parentOf(requestId) !== undefined,
    recordCall({ requestId, service, hadRoom }) {
      // A call may end after its run, which then no longer waits for it.
      const route = parentOf(requestId)?.route;
      if (route !== undefined) calls.recordCall({ route, service, hadRoom });
    },
    beginNested(requestId) {
      const parent = parentOf(requestId);
      if (!capacity?.isInForce || parent === undefined) return () => {};
      const ownCalls = parent.calls ?? new OwnCalls();
      parent.calls = ownCalls;
      ownCalls.begin();
      return () => ownCalls.end();
    },
    load: () => coldStarts === undefined ? load() : coldStarts.addTo(load()),
    capacityStatus: () => capacity?.status,
    get running() {
      return admission.running;
    },
    get waiting() {
      return admission.waiting;
    },
    setSlots: (slots) => admission.setSlots(slots),
    setLeaving: (leaving) => admission.setLeaving(leaving),
    setOrder: (order) => admission.setOrder(order),
    close: () => admission.close(),
  };
}
