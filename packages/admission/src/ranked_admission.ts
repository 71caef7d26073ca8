import { Result } from "true-myth";
import {
  type AdmissionVerdict,
  decideRankedAdmission,
  decideRankedStart,
  decideRetryAfterMs,
} from "./ranked_decisions.ts";
import {
  countWaitingAhead,
  isServedBefore,
  type RankedRequest,
} from "./ranked_order.ts";
import {
  CallerShares,
  comparePlaces,
  type ShareKeys,
  type SharePlace,
  sharePlace,
} from "./caller_shares.ts";
import type { UpstreamCapacity } from "./capacity_port.ts";
import { type Clock, systemClock, type Timer } from "./clock.ts";
import type { StartPace } from "./cold_start_pace.ts";
import { StartRate } from "./start_rate.ts";

/** Why the owner daemon, the one on the upstream's VM, did not start a request. The request has not run. */
export type RankedRefusal =
  | "busy"
  | "deadline"
  | "leaving"
  | "cancelled";

/** A slot that a request holds. */
export interface Grant {
  readonly waitedMs: number;
  /** Requests that hold a slot when this one gets it, itself included. */
  readonly concurrency: number;
  /** Records that the request is sent now. */
  markSent(): void;
  release(result: GrantResult): void;
}

/** How a request that held a slot ended. */
export interface GrantResult {
  /** Time that the upstream took; undefined if it did not answer. */
  readonly serviceTimeMs: number | undefined;
  /** Whether the request was sent to the upstream, so that it counts towards the upstream's limit. */
  readonly wasSent: boolean;
}

/** Load of an upstream, measured by its owner daemon. */
export interface AdmissionLoad {
  readonly running: number;
  readonly slots: number;
  /** Number of waiting requests by rank, the most urgent rank first. */
  readonly waitingByRank: readonly number[];
  /** Average of the service times with which slots were released. */
  readonly serviceTimeMs: number;
  /** Requests per second that the upstream takes; undefined without a limit. */
  readonly limitPerSecond?: number | undefined;
  /** Time until another request may start within that limit. */
  readonly startDelayMs?: number | undefined;
}

/** Options of `RankedAdmission`. */
export interface RankedAdmissionOptions {
  readonly slots: number;
  readonly clock?: Clock;
  /** What the upstream takes well; all its slots at its usual speed by default. */
  readonly capacity?: Pick<
    UpstreamCapacity,
    "concurrencyLimit" | "workRate" | "setSlots"
  >;
  /** Limit on the starts that does not depend on the slots; none by default. */
  readonly pace?: StartPace | undefined;
}

/** Number of ranks in the load report; less urgent requests are counted under the last one. */
export const RANK_COUNT = 5;

/** Value with which the average service time starts. */
const INITIAL_SERVICE_TIME_MS = 150;

/** Weight of the newest service time in the average, which thus covers about the last 20 requests. */
const SERVICE_TIME_WEIGHT = 0.1;

/**
 * In which order waiting requests start: `by_rank`, or `by_share`, where the callers of a rank get equal shares of an
 * upstream and a request is refused as soon as others that came later leave no room for it.
 */
export type AdmissionOrder = "by_rank" | "by_share";

/**
 * Share of the time left of the objective after which a waiting request is refused or goes before the others of its
 * rank. A caller that waits for more than half of its objective has hardly time to come back.
 */
const COMMIT_SHARE = 0.4;

const NO_SHARE_KEYS: ShareKeys = {
  vm: "",
  zone: "",
  isOtherZone: false,
  kind: "",
};

interface Waiter extends AdmitOptions {
  readonly requestedAtMs: number;
  /** Time from which the request is too late to start. */
  readonly latestStartAtMs: number;
  /** Whether the request has waited so long that others of its rank do not overtake it any more. */
  isCommitted: boolean;
  timer: Timer | undefined;
  commitTimer: Timer | undefined;
  settle(result: Result<Grant, RankedRefusal>): void;
}

/** Runs at most `slots` requests at once; the others wait by rank or are refused. */
export class RankedAdmission {
  readonly #clock: Clock;
  readonly #capacity: RankedAdmissionOptions["capacity"];
  #slots: number;
  #running = 0;
  #leaving = false;
  /** Average service time at the usual speed. */
  #usualServiceTimeMs = INITIAL_SERVICE_TIME_MS;
  readonly #waiting = new Set<Waiter>();
  readonly #startRate = new StartRate();
  readonly #pace: StartPace | undefined;
  readonly #shares = new CallerShares();
  #order: AdmissionOrder = "by_rank";
  #startTimer: Timer | undefined;

  constructor(options: RankedAdmissionOptions) {
    this.#slots = options.slots;
    this.#pace = options.pace;
    this.#clock = options.clock ?? systemClock;
    this.#capacity = options.capacity;
  }

  get running(): number {
    return this.#running;
  }

  get waiting(): number {
    return this.#waiting.size;
  }

  /** The load report for the callers' daemons. */
  load(): AdmissionLoad {
    const waitingByRank = new Array<number>(RANK_COUNT).fill(0);
    for (const { rank } of this.#waiting) {
      waitingByRank[Math.min(rank, RANK_COUNT - 1)]! += 1;
    }
    return {
      running: this.#running,
      slots: this.#slots,
      waitingByRank,
      serviceTimeMs: this.#serviceTimeMs,
      limitPerSecond: this.#startRate.limitPerSecond,
      startDelayMs: this.#startDelayMs(1, this.#clock.nowMs()),
    };
  }

  setSlots(slots: number): void {
    this.#slots = slots;
    this.#capacity?.setSlots(slots);
    this.#startNext();
  }

  /** Sets the number of requests per second that the upstream takes; undefined for no limit. */
  setLimit(limitPerSecond: number | undefined): void {
    if (limitPerSecond === this.#startRate.limitPerSecond) return;
    this.#startRate.setLimit(limitPerSecond, this.#clock.nowMs());
    this.#startNext();
  }

  /**
   * Applies a change of the pace: starts what may start now, and refuses the waiting requests that can no longer start in
   * time, so that their callers can go elsewhere at once.
   */
  applyPace(): void {
    const nowMs = this.#clock.nowMs();
    const waiting = this.#order === "by_share"
      ? this.#inOrder(nowMs)
      : [...this.#waiting].sort((a, b) => isServedBefore(a, b, nowMs) ? -1 : 1);
    let ahead = 0;
    for (const waiter of waiting) {
      const startAtMs = nowMs + this.#startDelayMs(ahead + 1, nowMs);
      if (startAtMs > waiter.latestStartAtMs) this.#refuse(waiter, "busy");
      else ahead += 1;
    }
    this.#startTimer?.cancel();
    this.#startTimer = undefined;
    this.#startNext();
  }

  setOrder(order: AdmissionOrder): void {
    this.#order = order;
  }

  /** With true, refuses waiting and new requests; with false, accepts new requests again. */
  setLeaving(leaving: boolean): void {
    this.#leaving = leaving;
    if (!leaving) return;
    for (const waiter of [...this.#waiting]) this.#refuse(waiter, "leaving");
  }

  /** Requests a slot; `cancel` ends the wait for it. */
  admit(
    request: AdmitOptions,
  ): {
    readonly granted: Promise<Result<Grant, RankedRefusal>>;
    cancel(): void;
  } {
    const nowMs = this.#clock.nowMs();
    const verdict = this.#decide(request, nowMs);
    if (verdict.kind === "wait") {
      return this.#enqueue(request, nowMs, verdict.maxWaitMs);
    }
    const granted = Promise.resolve(
      verdict.kind === "run"
        ? Result.ok<Grant, RankedRefusal>(this.#grant(request, nowMs))
        : Result.err<Grant, RankedRefusal>(verdict.reason),
    );
    return { granted, cancel: () => {} };
  }

  /** Decides on a request as `admit` would if it came later, without an effect. */
  preview(request: AdmitOptions, later: PreviewOptions): AdmissionVerdict {
    return this.#decide(request, this.#clock.nowMs(), later);
  }

  /** Time after which a caller that is refused now should retry. */
  retryAfterMs(
    request:
      & RankedRequest
      & Pick<AdmitOptions, "deadlineAtMs" | "shareKeys">,
  ): number {
    const nowMs = this.#clock.nowMs();
    return decideRetryAfterMs({
      backlogMs: this.#predictWaitMs(request),
      neededMs: request.neededMs,
      objectiveLeftMs: request.objectiveAtMs - nowMs,
      timeLeftMs: request.deadlineAtMs - nowMs,
    });
  }

  /** Refuses all waiting and new requests. */
  close(): void {
    this.#startTimer?.cancel();
    this.setLeaving(true);
  }

  #decide(
    request: AdmitOptions,
    nowMs: number,
    { readyMs, announcedCount }: PreviewOptions = NOW,
  ): AdmissionVerdict {
    const announcedMs = announcedCount * this.#serviceTimeMs / this.#limit;
    const waitMs = this.#predictWaitMs(request) + announcedMs;
    return decideRankedAdmission({
      isLeaving: this.#leaving,
      freeSlots: this.#startable(nowMs, request.isNested) - announcedCount,
      waitMs: Math.max(0, waitMs - readyMs),
      neededMs: request.neededMs,
      objectiveLeftMs: request.objectiveAtMs - nowMs - readyMs,
      timeLeftMs: request.deadlineAtMs - nowMs - readyMs,
      lateWaitingCount: this.#countLateWaiting(nowMs),
      slots: this.#limit,
      isNested: request.isNested,
      mayWait: request.mayWait,
      workRate: this.#capacity?.workRate ?? 1,
    });
  }

  /** Number of requests that may run at once now, without nested ones. */
  get #limit(): number {
    return Math.min(this.#slots, this.#capacity?.concurrencyLimit ?? Infinity);
  }

  /** Average service time at the present speed. */
  get #serviceTimeMs(): number {
    return this.#usualServiceTimeMs / (this.#capacity?.workRate ?? 1);
  }

  /**
   * Number of requests that may start now. Nested ones may take all slots: if two services call each other, a low limit
   * would let all their requests wait for each other.
   */
  #startable(nowMs: number, isNested: boolean): number {
    const freeSlots = (isNested ? this.#slots : this.#limit) - this.#running;
    return Math.min(
      freeSlots,
      this.#startRate.available(nowMs),
      this.#pace?.available(nowMs) ?? Infinity,
    );
  }

  /** Time until this many requests may have started, whatever slots are free. */
  #startDelayMs(requestCount: number, nowMs: number): number {
    return Math.max(
      this.#startRate.delayMs(requestCount, nowMs),
      this.#pace?.delayMs(requestCount, nowMs) ?? 0,
    );
  }

  #predictWaitMs(
    request: RankedRequest & Pick<AdmitOptions, "shareKeys">,
  ): number {
    const ahead = this.#order === "by_share"
      ? this.#countPlacesAhead(request)
      : countWaitingAhead([...this.#waiting], request);
    return this.#waitBehindMs(ahead + 1);
  }

  #countPlacesAhead(
    request: RankedRequest & Pick<AdmitOptions, "shareKeys">,
  ): number {
    const nowMs = this.#clock.nowMs();
    const place = this.#placeOf(request, nowMs);
    let ahead = 0;
    for (const waiter of this.#waiting) {
      if (comparePlaces(this.#placeOf(waiter, nowMs), place) <= 0) ahead += 1;
    }
    return ahead;
  }

  #placeOf(
    request:
      & RankedRequest
      & Pick<AdmitOptions, "shareKeys">
      & Partial<Pick<Waiter, "isCommitted">>,
    nowMs: number,
  ): SharePlace {
    const keys = request.shareKeys ?? NO_SHARE_KEYS;
    const { isCommitted = false } = request;
    return sharePlace(
      { ...request, keys, isCommitted },
      { shares: this.#shares, nowMs },
    );
  }

  /** Predicted time until the last of this many waiting requests starts. */
  #waitBehindMs(ahead: number): number {
    return Math.max(
      ahead * this.#serviceTimeMs / this.#limit,
      this.#startDelayMs(ahead, this.#clock.nowMs()),
    );
  }

  #countLateWaiting(nowMs: number): number {
    let lateCount = 0;
    for (const { objectiveAtMs, neededMs } of this.#waiting) {
      if (objectiveAtMs - nowMs < neededMs) lateCount += 1;
    }
    return lateCount;
  }

  #enqueue(request: AdmitOptions, nowMs: number, maxWaitMs: number) {
    let settle!: (result: Result<Grant, RankedRefusal>) => void;
    const granted = new Promise<Result<Grant, RankedRefusal>>((resolve) => {
      settle = resolve;
    });
    const waiter: Waiter = {
      ...request,
      requestedAtMs: nowMs,
      latestStartAtMs: nowMs + Math.max(0, maxWaitMs),
      isCommitted: false,
      timer: undefined,
      commitTimer: undefined,
      settle,
    };
    waiter.timer = this.#clock.setTimer(
      () => this.#refuse(waiter, "busy"),
      Math.max(0, maxWaitMs),
    );
    this.#waiting.add(waiter);
    if (this.#order === "by_share") {
      const commitMs = COMMIT_SHARE * (request.objectiveAtMs - nowMs);
      if (!request.isNested && commitMs < maxWaitMs) {
        waiter.commitTimer = this.#clock.setTimer(
          () => this.#commit(waiter),
          Math.max(0, commitMs),
        );
      }
      this.#refuseOvertaken(nowMs);
    }
    this.#startLater(nowMs);
    return { granted, cancel: () => this.#refuse(waiter, "cancelled") };
  }

  #refuse(waiter: Waiter, reason: RankedRefusal): void {
    if (!this.#waiting.delete(waiter)) return;
    waiter.timer?.cancel();
    waiter.commitTimer?.cancel();
    waiter.settle(Result.err(reason));
  }

  /**
   * Refuses the waiting requests that others overtook, so that they would start too late. They are told at once, while
   * they have time to go elsewhere.
   */
  #refuseOvertaken(nowMs: number): void {
    const inOrder = this.#inOrder(nowMs);
    // The prediction is uncertain by about one service time.
    const toleranceMs = this.#serviceTimeMs;
    let ahead = 0;
    for (const waiter of inOrder) {
      const startsAtMs = nowMs + this.#waitBehindMs(ahead + 1);
      const isTooLate = !waiter.isNested && !waiter.isCommitted &&
        startsAtMs > waiter.latestStartAtMs + toleranceMs;
      if (isTooLate) this.#refuse(waiter, "busy");
      else ahead += 1;
    }
  }

  /** Refuses a request that will start too late, as far as can be told now, or lets nothing of its rank overtake it. */
  #commit(waiter: Waiter): void {
    const nowMs = this.#clock.nowMs();
    waiter.isCommitted = true;
    const ahead = this.#inOrder(nowMs).indexOf(waiter);
    const toleranceMs = this.#serviceTimeMs / 2;
    const startsAtMs = nowMs + this.#waitBehindMs(ahead + 1);
    if (startsAtMs + toleranceMs > waiter.latestStartAtMs) {
      return this.#refuse(waiter, "busy");
    }
    // It is next in its rank, so it is hardly late; a refusal would come too late for its caller.
    waiter.timer?.cancel();
    waiter.timer = this.#clock.setTimer(
      () => this.#refuse(waiter, "busy"),
      waiter.deadlineAtMs - waiter.neededMs - nowMs,
    );
  }

  #inOrder(nowMs: number): readonly Waiter[] {
    return [...this.#waiting]
      .map((waiter) => ({ waiter, place: this.#placeOf(waiter, nowMs) }))
      .sort((a, b) => comparePlaces(a.place, b.place))
      .map(({ waiter }) => waiter);
  }

  #grant(request: AdmitOptions, requestedAtMs: number): Grant {
    const nowMs = this.#clock.nowMs();
    this.#running += 1;
    this.#startRate.take(nowMs);
    this.#pace?.reserve();
    if (this.#order === "by_share") {
      const keys = request.shareKeys ?? NO_SHARE_KEYS;
      this.#shares.record(keys, request.neededMs, nowMs);
    }
    let released = false;
    let isMarkedSent = false;
    const markSent = () => {
      if (isMarkedSent) return;
      isMarkedSent = true;
      this.#pace?.send(this.#clock.nowMs());
    };
    return {
      waitedMs: nowMs - requestedAtMs,
      concurrency: this.#running,
      markSent,
      release: ({ serviceTimeMs, wasSent }) => {
        if (released) return;
        released = true;
        this.#running -= 1;
        if (!wasSent) this.#startRate.giveBack();
        if (wasSent) markSent();
        else if (!isMarkedSent) this.#pace?.giveBack();
        if (serviceTimeMs !== undefined) {
          const usualMs = serviceTimeMs * (this.#capacity?.workRate ?? 1);
          this.#usualServiceTimeMs += SERVICE_TIME_WEIGHT *
            (usualMs - this.#usualServiceTimeMs);
        }
        this.#startNext();
      },
    };
  }

  #startNext(): void {
    while (this.#waiting.size > 0) {
      const nowMs = this.#clock.nowMs();
      const waiter = this.#nextWaiter(nowMs);
      if (waiter === undefined) return this.#startLater(nowMs);
      const verdict = decideRankedStart({
        timeLeftMs: waiter.deadlineAtMs - nowMs,
        neededMs: waiter.neededMs,
      });
      if (verdict !== "run") {
        this.#refuse(waiter, verdict);
        continue;
      }
      this.#waiting.delete(waiter);
      waiter.timer?.cancel();
      waiter.commitTimer?.cancel();
      waiter.settle(Result.ok(this.#grant(waiter, waiter.requestedAtMs)));
    }
  }

  /** The first waiting request that may start now; undefined if there is none. */
  #nextWaiter(nowMs: number): Waiter | undefined {
    if (this.#startable(nowMs, true) < 1) return undefined;
    const mayAnyStart = this.#startable(nowMs, false) >= 1;
    if (this.#order === "by_share") {
      return this.#inOrder(nowMs)
        .find(({ isNested }) => mayAnyStart || isNested);
    }
    let next: Waiter | undefined;
    for (const waiter of this.#waiting) {
      if (!mayAnyStart && !waiter.isNested) continue;
      if (next === undefined || isServedBefore(waiter, next, nowMs)) {
        next = waiter;
      }
    }
    return next;
  }

  /** Continues once the limit allows another request to start; a free slot continues at once. */
  #startLater(nowMs: number): void {
    if (this.#running >= this.#limit || this.#startTimer !== undefined) return;
    this.#startTimer = this.#clock.setTimer(() => {
      this.#startTimer = undefined;
      this.#startNext();
    }, this.#startDelayMs(1, nowMs));
  }
}

/** A later time at which a request asks for a slot. */
export interface PreviewOptions {
  /** Time until the request asks for a slot. */
  readonly readyMs: number;
  /** Number of other requests that will ask for a slot before it. */
  readonly announcedCount: number;
}

const NOW: PreviewOptions = { readyMs: 0, announcedCount: 0 };

/** A request for a slot. */
export interface AdmitOptions extends RankedRequest {
  readonly deadlineAtMs: number;
  /** Whether a request that already holds a slot waits for this one. */
  readonly isNested: boolean;
  /** Whether the request may wait; if not, it is refused unless a slot is free. */
  readonly mayWait: boolean;
  /** Whose share the request takes; by default, all requests are of one caller. */
  readonly shareKeys?: ShareKeys | undefined;
}
