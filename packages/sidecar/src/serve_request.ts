import { ReturnBook } from "@tanagercove/admission";
import type { Catalog } from "@tanagercove/catalog";
import {
  choosePlacement,
  type PlacementCandidate,
  type PlacementResult,
  type UpstreamReports,
} from "@tanagercove/placement";
import type { ServiceBudgets } from "@tanagercove/retries";
import { matchRoute } from "@tanagercove/routing";
import type { Endpoint, RequestClass } from "@tanagercove/types";
import type { RoutedRequest } from "./caller_request.ts";
import {
  decideNextStep,
  type DecideNextStepOptions,
  type NextStep,
  refusalReasonOf,
} from "./decide_next_step.ts";
import type { EvacuatedZones } from "./evacuated_zones.ts";
import type { ForwardTicket, OwnerState, OwnerVerdict } from "./forwarding.ts";
import type { LeavingUpstreams } from "./leaving_upstreams.ts";
import type { OwnedAnswer, OwnedRequest, Owner } from "./owner.ts";
import type { ForwardResult, ForwardRun, PeerClient } from "./peer_client.ts";
import { decideMaxKnownFull, mayWaitAt } from "./may_wait_at.ts";
import { placementCandidates } from "./placement_candidates.ts";
import { type KnownShortage, RoomCheck } from "./room_check.ts";
import { decideRoomPolicy } from "./room_policy.ts";
import {
  decideRefusal,
  isDeliverable,
  type RefusalReason,
} from "./refusals.ts";
import { decideRequestClass } from "./request_class.ts";
import type { SendQueue } from "./send_queue.ts";

/**
 * Maximum number of times that one request is sent. A refusal by an owner daemon
 * is cheap but not free: a maximum of eight, together with another change, made
 * delays worse in a fleet of 84 small VMs.
 */
const MAX_SENT = 4;

/** Retry-After of a refusal if the wait for a slot is not known. */
export const DEFAULT_RETRY_AFTER_MS = 250;

/**
 * Time without any response from the owner daemon after which this daemon gives
 * up an idempotent request that it can't retry: the caller still can. Ten times
 * `CONFIRM_AFTER_MS`, by which a healthy owner daemon has responded. A stopping
 * daemon keeps waiting, since it must answer the requests in flight. A request
 * that only a newer version might make non-idempotent is given up too.
 */
const MAX_SILENCE_MS = 1_200;

/** Predicted wait, as a share of the service time, up to which an upstream is likely to have a free slot. */
const NEGLIGIBLE_WAIT_SHARE = 0.1;

const NOTHING_TRIED = {
  tried: new Set<string>(),
  knownFull: new Set<string>(),
} as const;

/**
 * Wait at the first upstreams, as a share of the objective, after which no other one is tried. An owner daemon refuses
 * within four tenths of what is left, so a second refusal comes within half of the objective.
 */
const MAX_FIRST_WAIT_SHARE = 0.15;

/** Options of `createRequestServer`. */
export interface CreateRequestServerOptions {
  readonly zone: string;
  readonly address: string;
  readonly service: string;
  readonly peerPort: number;
  readonly catalog: Catalog;
  readonly owner: Pick<Owner, "run">;
  readonly ownerState: (upstreamId: string) => OwnerState;
  readonly leaving: Pick<LeavingUpstreams, "add" | "has">;
  readonly evacuated: Pick<EvacuatedZones, "note" | "has">;
  readonly peers: Pick<PeerClient, "forward">;
  /** Bandwidth of a VM's link; not known of any by default. */
  readonly linkMbpsOf?: (address: string) => number | undefined;
  readonly reports: UpstreamReports;
  readonly budgets: ServiceBudgets;
  readonly sendQueue: Pick<SendQueue, "wait">;
  readonly isStopping: () => boolean;
  /** Whether the configuration in force is the newest one that must be, as far as this daemon can know. */
  readonly isConfigurationCurrent: () => boolean;
  /** Called when a request is not sent again only because the configuration in force may be outdated. */
  readonly onRepeatWithheld?: () => void;
  readonly onPeerState: (peer: Endpoint, state: OwnerState) => void;
  /** Monotonic time in milliseconds. */
  readonly nowMs?: () => number;
  /** Returns a number from 0 (included) to 1 (excluded). */
  readonly random?: () => number;
}

/** Outcome of a caller's request. */
export type ServedRequest =
  | { readonly kind: "answered"; readonly answer: OwnedAnswer }
  | {
    readonly kind: "refused";
    readonly reason: RefusalReason;
    readonly retryAfterMs: number;
    /** What was known, if the request was refused because of it. */
    readonly shortage?: KnownShortage;
  }
  | { readonly kind: "gone" };

/** Serves a request whose route is known. */
export type ServeRequest = (routed: RoutedRequest) => Promise<ServedRequest>;

/** Serves requests whose routes are known. */
export interface RequestServer {
  readonly serve: ServeRequest;
  /** What is known if no upstream can serve a request in time; undefined if it is to be read and sent. */
  knownShortage(request: CheckedRequest): KnownShortage | undefined;
}

/** The part of a request that is known before its body is read. */
export type CheckedRequest = Pick<
  RoutedRequest,
  "route" | "service" | "rank" | "objectiveAtMs" | "deadlineAtMs" | "isNested"
>;

/** State that the attempts of a request share. */
interface Progress {
  /** Upstreams to which the request is not sent again. */
  readonly tried: Set<string>;
  /** Upstreams that were full when the request came and might not wait. */
  readonly knownFull: Set<string>;
  upstreamsReached: number;
  /** Whether the request was not sent again only because the configuration may be outdated. */
  isRepeatWithheld: boolean;
}

interface Attempt {
  readonly verdict: OwnerVerdict;
  readonly answer: OwnedAnswer | undefined;
  /** The next step, if it was decided before the attempt ended. */
  readonly step: NextStep | undefined;
}

/** Creates the function that chooses an upstream for a request, sends it, and retries it where that is allowed. */
export function createRequestServer(
  options: CreateRequestServerOptions,
): RequestServer {
  const { catalog, reports, random = Math.random } = options;
  const now = options.nowMs ?? (() => performance.now());
  const roomCheck = new RoomCheck({ reports, nowMs: now });
  const returns = new ReturnBook({ nowMs: now, random });
  const policy = () => decideRoomPolicy(catalog.index?.configuration);

  function knownShortage(
    request: CheckedRequest,
    candidates?: readonly PlacementCandidate[],
  ): KnownShortage | undefined {
    if (policy() === "by_attempt") return undefined;
    const { route: { name: route }, deadlineAtMs, isNested } = request;
    const earlyMs = isNested ? 0 : returns.earlyMs({ route, deadlineAtMs });
    const shortage = roomCheck.shortageFor(
      request,
      candidates ?? candidatesOf(request, NOTHING_TRIED),
      { earlyMs },
    );
    if (shortage === undefined) return undefined;
    return { ...shortage, retryAfterMs: returnAfterMs(request, shortage) };
  }

  /** Time after which the caller of a refused request comes back. */
  function returnAfterMs(
    { service, route, objectiveAtMs, deadlineAtMs }: CheckedRequest,
    { waitMs, serviceMs }: Pick<KnownShortage, "waitMs" | "serviceMs">,
  ): number {
    const nowMs = now();
    return returns.plan({
      caller: { service, route: route.name, deadlineAtMs },
      backlogMs: waitMs,
      neededMs: serviceMs,
      objectiveLeftMs: objectiveAtMs - nowMs,
      timeLeftMs: deadlineAtMs - nowMs,
      slotIntervalMs: slotIntervalMs(service, serviceMs),
    });
  }

  /** Time in which this daemon's share of the service's slots sets one slot free, as if all daemons asked for as much. */
  function slotIntervalMs(service: string, serviceMs: number): number {
    const slots = catalog.upstreamsOf(service)
      .reduce((sum, { entry }) => sum + entry.slots, 0);
    return serviceMs * catalog.upstreams.size / Math.max(1, slots);
  }

  async function serve(routed: RoutedRequest): Promise<ServedRequest> {
    const served = await serveOnce(routed);
    const isToPlan = served.kind === "refused" && served.reason === "busy" &&
      policy() === "by_knowledge" && !routed.isNested;
    if (!isToPlan) return served;
    const serviceMs = routed.attempts.at(-1)?.predictedServiceMs ?? 0;
    const waitMs = served.retryAfterMs;
    const retryAfterMs = returnAfterMs(routed, { waitMs, serviceMs });
    return { ...served, retryAfterMs };
  }

  async function serveOnce(routed: RoutedRequest): Promise<ServedRequest> {
    const { route } = routed;
    const progress: Progress = {
      tried: new Set(),
      knownFull: new Set(),
      upstreamsReached: 0,
      isRepeatWithheld: false,
    };
    let fallback: OwnedAnswer | undefined;
    let retryAfterMs = DEFAULT_RETRY_AFTER_MS;
    let reason: RefusalReason = "no_upstream";
    for (let sentCount = 0; sentCount < MAX_SENT; sentCount += 1) {
      await options.sendQueue.wait();
      if (routed.isDisconnected) return { kind: "gone" };
      if (routed.deadlineAtMs <= now()) {
        reason = "deadline_before_start";
        break;
      }
      const candidates = candidatesOf(routed, progress);
      if (sentCount === 0 && routed.isRoomChecked !== true) {
        const shortage = knownShortage(routed, candidates);
        if (shortage !== undefined) {
          const { retryAfterMs } = shortage;
          return { kind: "refused", reason: "no_room", retryAfterMs, shortage };
        }
      }
      const chosen = choosePlacement({
        candidates,
        latencyObjectiveMs: route.latencyObjectiveMs,
        random,
      });
      if (chosen === undefined) break;
      const isLast = sentCount === MAX_SENT - 1;
      const mayWait = isLast || mayWaitAt(chosen, {
        candidates,
        knownFullCount: progress.knownFull.size,
        maxKnownFull: maxKnownFullOf(routed, chosen),
      });
      progress.tried.add(chosen.id);
      const attempt = await send(routed, { chosen, mayWait, progress });
      if (routed.isDisconnected) return { kind: "gone" };
      const { verdict, answer } = attempt;
      if (!mayWait && verdict.kind === "not_run" && verdict.reason === "busy") {
        progress.tried.delete(chosen.id);
        progress.knownFull.add(chosen.id);
        reason = "busy";
        if (verdict.retryAfterMs > 0) retryAfterMs = verdict.retryAfterMs;
        continue;
      }
      if (answer !== undefined) fallback = answer;
      if (verdict.kind === "not_run" && verdict.retryAfterMs > 0) {
        retryAfterMs = verdict.retryAfterMs;
      }
      const step = attempt.step ??
        nextStep(routed, { attempt, chosen, progress });
      if (verdict.kind !== "not_run" || verdict.reachedUpstream) {
        progress.upstreamsReached += 1;
      }
      if (step.kind === "deliver") break;
      const latest = step.kind === "refuse"
        ? step.reason
        : verdict.kind === "not_run"
        ? refusalReasonOf(verdict)
        : reason;
      reason = preferBusy(reason, latest);
      if (step.kind === "refuse") break;
    }
    if (progress.isRepeatWithheld) options.onRepeatWithheld?.();
    if (fallback !== undefined) {
      if (isDeliverable(fallback.status, requestClassOf(routed))) {
        return { kind: "answered", answer: fallback };
      }
      reason = "ambiguous_status";
    }
    if (reason === "no_upstream" && isEvacuated(routed.service)) {
      reason = "evacuated";
    }
    const refusal = decideRefusal(reason, routed.attempts);
    return { kind: "refused", reason: refusal.reason, retryAfterMs };
  }

  function requestClassOf(
    { route, version, head }: RoutedRequest,
    isConfigurationCurrent = options.isConfigurationCurrent(),
  ): RequestClass {
    const { index } = catalog;
    const currentRoute = index === undefined || catalog.version === version
      ? route
      : matchRoute(index, head);
    return decideRequestClass({
      routed: route.requestClass,
      current: currentRoute?.requestClass,
      isConfigurationCurrent,
    });
  }

  function maxKnownFullOf(
    { service, objectiveAtMs }: RoutedRequest,
    { serviceMs }: PlacementCandidate,
  ): number {
    return decideMaxKnownFull({
      policy: policy(),
      upstreams: catalog.upstreamsOf(service).length,
      serviceMs,
      leftMs: objectiveAtMs - now(),
    });
  }

  /** Whether all upstreams that could serve the requests of a service are in evacuated zones. */
  function isEvacuated(service: string): boolean {
    const ready = catalog.upstreamsOf(service)
      .filter(({ entry }) => entry.state === "ready");
    return ready.length > 0 &&
      ready.every(({ entry }) => options.evacuated.has(entry));
  }

  function candidatesOf(
    { route, service, rank, body }:
      & Pick<RoutedRequest, "route" | "service" | "rank">
      & Partial<Pick<RoutedRequest, "body">>,
    { tried, knownFull }: Pick<Progress, "tried" | "knownFull">,
  ): PlacementCandidate[] {
    return placementCandidates({
      route,
      service,
      rank,
      bodyBytes: body?.length ?? 0,
      ownAddress: options.address,
      linkMbpsOf: options.linkMbpsOf ?? (() => undefined),
      catalog,
      reports,
      leaving: options.leaving,
      evacuated: options.evacuated,
      ownZone: options.zone,
      tried,
      knownFull,
      nowMs: now(),
      random,
    });
  }

  function nextStep(
    routed: RoutedRequest,
    { attempt: { verdict, answer }, chosen, progress }: {
      readonly attempt: Pick<Attempt, "verdict" | "answer">;
      readonly chosen: PlacementCandidate;
      readonly progress: Progress;
    },
  ): NextStep {
    const wasReached = verdict.kind !== "not_run" || verdict.reachedUpstream;
    const requestClass = requestClassOf(routed);
    const decision: DecideNextStepOptions = {
      verdict,
      status: answer?.status,
      requestClass,
      upstreamsReached: progress.upstreamsReached + (wasReached ? 1 : 0),
      maxAttempts: routed.route.maxAttempts,
      timeLeftMs: routed.deadlineAtMs - now(),
      neededMs: chosen.serviceMs,
      hasUntried() {
        // A run that has no time for its calls at one upstream has none at another.
        const isTooLate = verdict.kind === "not_run" &&
          verdict.reason === "deadline";
        if (isTooLate && policy() === "by_knowledge") return false;
        const untried = candidatesOf(routed, progress);
        if (verdict.kind !== "not_run" || verdict.reason !== "busy") {
          return untried.length > 0;
        }
        return policy() === "by_knowledge"
          ? hasTimeToWaitAgain(routed) && roomCheck.hasRoom(routed, untried)
          : untried.some((candidate) => isWorthTrying(routed, candidate));
      },
      takeToken: () => options.budgets.tryTake(routed.service),
    };
    const step = decideNextStep(decision);
    const couldBeSentAgain = requestClassOf(routed, true) !== requestClass &&
      decideNextStep({
          ...decision,
          requestClass: "idempotent",
          takeToken: () => true,
        }).kind === "try_another";
    progress.isRepeatWithheld = couldBeSentAgain && step.kind !== "try_another";
    return step;
  }

  /** Whether a refusal after another wait would still come within half of the objective. */
  function hasTimeToWaitAgain(
    { route, startedMs, isNested }: RoutedRequest,
  ): boolean {
    const elapsedMs = now() - startedMs;
    return isNested ||
      elapsedMs <= MAX_FIRST_WAIT_SHARE * route.latencyObjectiveMs;
  }

  /** Whether an upstream is worth trying after another was busy: it is likely to have a free slot or to finish in time. */
  function isWorthTrying(
    { objectiveAtMs, isNested, deadlineAtMs }: RoutedRequest,
    { waitMs, serviceMs }: PlacementCandidate,
  ): boolean {
    const finishedAtMs = now() + waitMs + serviceMs;
    return waitMs <= NEGLIGIBLE_WAIT_SHARE * serviceMs ||
      finishedAtMs <= (isNested ? deadlineAtMs : objectiveAtMs);
  }

  async function send(
    routed: RoutedRequest,
    { chosen, mayWait, progress }: {
      readonly chosen: PlacementCandidate;
      readonly mayWait: boolean;
      readonly progress: Progress;
    },
  ): Promise<Attempt> {
    const { route } = routed;
    const sentAtMs = now();
    // The upstream may start anew under the same id until the answer arrives.
    const entry = catalog.upstreams.get(chosen.id)?.entry;
    reports.begin(chosen.id);
    let isSilent = false;
    let step: NextStep | undefined;
    let result: ForwardResult;
    try {
      const run = startRun(
        ownedRequest(routed, { chosen, mayWait }),
        (silentMs) => {
          if (!isSilent) reports.markUnreachable(chosen.id);
          isSilent = true;
          if (requestClassOf(routed, true) !== "idempotent") return;
          step = stepAfterSilence(routed, { chosen, progress, silentMs });
          if (step !== undefined) run.cancel();
        },
      );
      routed.cancel = () => run.cancel();
      result = await run.ended;
    } catch (error) {
      // Otherwise the request would count as in flight for ever.
      reports.end(chosen.id, { result: "cancelled", route: route.name });
      throw error;
    } finally {
      routed.cancel = undefined;
    }
    if (result.state !== undefined) {
      reports.recordLoad(chosen.id, result.state.load);
      if (result.state.isUpstreamLeaving && entry !== undefined) {
        options.leaving.add(entry);
      }
      if (result.state.isEvacuated && entry !== undefined) {
        options.evacuated.note(entry, result.state.revision);
      }
    }
    const { verdict, answer } = result;
    recordWait(routed, {
      chosen,
      mayWait,
      verdict,
      elapsedMs: now() - sentAtMs,
    });
    reports.end(chosen.id, {
      result: placementResult(result, isSilent, routed.isDisconnected),
      route: route.name,
      serviceMs: verdict.kind === "answered" ? verdict.serviceMs : undefined,
    });
    routed.attempts.push({
      upstreamId: chosen.id,
      verdict: verdict.kind,
      reason: verdict.kind === "answered"
        ? String(answer!.status)
        : isSilent
        ? `${verdict.reason}, silent`
        : !mayWait && verdict.reason === "busy"
        ? "busy, no wait"
        : verdict.reason,
      evidence: result.evidence ?? { kind: "owner_daemon" },
      predictedWaitMs: Math.round(chosen.waitMs),
      predictedServiceMs: Math.round(chosen.serviceMs),
      durationMs: Math.round(now() - sentAtMs),
    });
    return { verdict, answer, step };
  }

  function recordWait(
    routed: RoutedRequest,
    { chosen, mayWait, verdict, elapsedMs }: {
      readonly chosen: PlacementCandidate;
      readonly mayWait: boolean;
      readonly verdict: OwnerVerdict;
      readonly elapsedMs: number;
    },
  ): void {
    if (!mayWait || policy() === "by_attempt") return;
    if (verdict.kind === "answered") {
      roomCheck.recordWait(routed, chosen, elapsedMs - verdict.serviceMs);
    } else if (verdict.kind === "not_run" && verdict.reason === "busy") {
      roomCheck.recordWait(routed, chosen, undefined);
    }
  }

  /**
   * Decides the next step while the owner daemon has sent nothing; undefined to keep waiting for it. A stopping daemon
   * keeps waiting: the upstream may be at work, and if the other attempt failed, the caller would have lost its answer.
   */
  function stepAfterSilence(
    routed: RoutedRequest,
    { chosen, progress, silentMs }: {
      readonly chosen: PlacementCandidate;
      readonly progress: Progress;
      readonly silentMs: number;
    },
  ): NextStep | undefined {
    if (options.isStopping()) return undefined;
    const verdict: OwnerVerdict = { kind: "unknown", reason: "cut" };
    const attempt = { verdict, answer: undefined };
    const step = nextStep(routed, { attempt, chosen, progress });
    const shouldKeepWaiting = silentMs < MAX_SILENCE_MS;
    return step.kind === "refuse" && shouldKeepWaiting ? undefined : step;
  }

  function ownedRequest(
    routed: RoutedRequest,
    { chosen, mayWait }: {
      readonly chosen: PlacementCandidate;
      readonly mayWait: boolean;
    },
  ): OwnedRequest {
    const { route } = routed;
    const nowMs = now();
    const ticket: ForwardTicket = {
      upstreamId: chosen.id,
      service: routed.service,
      route: route.name,
      requestClass: requestClassOf(routed),
      rank: routed.rank,
      timeLeftMs: routed.deadlineAtMs - nowMs,
      objectiveLeftMs: routed.objectiveAtMs - nowMs,
      isNested: routed.isNested,
      callerService: options.service,
      version: routed.version,
      mayWait,
    };
    return {
      ticket,
      requestId: routed.requestId,
      method: routed.request.method!,
      path: routed.head.path,
      headers: routed.head.headers,
      body: routed.body,
    };
  }

  function startRun(
    request: OwnedRequest,
    onSilent: (silentMs: number) => void,
  ): ForwardRun {
    const { entry } = catalog.upstreams.get(request.ticket.upstreamId)!;
    if (entry.address === options.address) {
      const run = options.owner.run(request);
      const ended = run.ended.then((result) => ({
        ...result,
        state: options.ownerState(request.ticket.upstreamId),
      }));
      return { ended, cancel: run.cancel };
    }
    const destination = { address: entry.address, port: options.peerPort };
    const run = options.peers.forward({ destination, request, onSilent });
    const ended = run.ended.then((result) => {
      const { state } = result;
      if (state !== undefined) options.onPeerState(destination, state);
      return result;
    });
    return { ended, cancel: () => run.cancel() };
  }

  return { serve, knownShortage: (request) => knownShortage(request) };
}

/** Keeps `busy` if later upstreams are only leaving or unreachable: a busy upstream may have a free slot soon. */
function preferBusy(
  reason: RefusalReason,
  latest: RefusalReason,
): RefusalReason {
  const hasNoUpstream = latest === "no_upstream" || latest === "unreachable";
  return reason === "busy" && hasNoUpstream ? reason : latest;
}

function placementResult(
  { verdict, answer, state }: ForwardResult,
  isSilent: boolean,
  isDisconnected: boolean,
): PlacementResult {
  if (isDisconnected) return "cancelled";
  if (verdict.kind === "answered") {
    return answer!.status >= 500 ? "failed" : "served";
  }
  // The silence was already reported when it was detected.
  if (isSilent) return "cancelled";
  if (verdict.kind === "unknown") {
    if (verdict.reason === "deadline") return "cancelled";
    return state === undefined ? "unreachable" : "failed";
  }
  if (verdict.reason === "leaving" && state?.isEvacuated) return "refused";
  if (verdict.reason === "connect_failed" || verdict.reason === "leaving") {
    return "unreachable";
  }
  return verdict.reason === "upstream_refused" ? "failed" : "refused";
}
