import { Result } from "true-myth";
import {
  decideRankedAdmission,
  decideRankedStart,
  decideRetryAfterMs,
} from "./ranked_decisions.ts";
import {
  isServedBefore,
  type RankedRequest,
  waitingAhead,
} from "./ranked_order.ts";

/** Why the owner daemon did not start a request. It has not run. */
export type RankedRefusal =
  | "busy"
  | "deadline"
  | "leaving"
  | "cancelled";

/** A slot; give it back once with the time that the upstream took. */
export interface Grant {
  readonly waitedMs: number;
  release(result: { readonly serviceTimeMs: number | undefined }): void;
}

/** Load of an upstream as its owner daemon counts it. */
export interface AdmissionLoad {
  readonly running: number;
  readonly slots: number;
  /** Waiting requests by rank, the most urgent first. */
  readonly waitingByRank: readonly number[];
  /** Average time that a request holds a slot. */
  readonly serviceTimeMs: number;
}

/** Options of `RankedAdmission`. */
export interface RankedAdmissionOptions {
  readonly slots: number;
  /** Monotonic time in milliseconds. */
  readonly nowMs?: () => number;
}

/** Ranks that the load report tells apart; less urgent ones count as the last. */
export const RANK_COUNT = 5;

/** Assumed until the first request ends. */
const INITIAL_SERVICE_TIME_MS = 150;

/** Weight of the newest service time in the average: about the last 20 requests. */
const SERVICE_TIME_WEIGHT = 0.1;

interface Waiter extends RankedRequest {
  readonly sinceMs: number;
  readonly deadlineAtMs: number;
  timer: NodeJS.Timeout | undefined;
  settle(result: Result<Grant, RankedRefusal>): void;
}

/** Runs at most `slots` requests at once and keeps the others in order of rank. */
export class RankedAdmission {
  readonly #nowMs: () => number;
  #slots: number;
  #running = 0;
  #leaving = false;
  #serviceTimeMs = INITIAL_SERVICE_TIME_MS;
  readonly #waiting = new Set<Waiter>();

  constructor(options: RankedAdmissionOptions) {
    this.#slots = options.slots;
    this.#nowMs = options.nowMs ?? (() => performance.now());
  }

  get running(): number {
    return this.#running;
  }

  get waiting(): number {
    return this.#waiting.size;
  }

  /** The load for the callers' daemons. */
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
    };
  }

  setSlots(slots: number): void {
    this.#slots = slots;
    this.#startNext();
  }

  /** Refuses waiting and new requests from now on, or takes them again. */
  setLeaving(leaving: boolean): void {
    this.#leaving = leaving;
    if (!leaving) return;
    for (const waiter of [...this.#waiting]) this.#refuse(waiter, "leaving");
  }

  /** Waits for a slot; `cancel` ends the wait. */
  admit(
    request: AdmitOptions,
  ): {
    readonly granted: Promise<Result<Grant, RankedRefusal>>;
    cancel(): void;
  } {
    const nowMs = this.#nowMs();
    const verdict = decideRankedAdmission({
      isLeaving: this.#leaving,
      freeSlots: this.#slots - this.#running,
      waitMs: this.#predictWaitMs(request),
      neededMs: request.neededMs,
      objectiveLeftMs: request.objectiveAtMs - nowMs,
      timeLeftMs: request.deadlineAtMs - nowMs,
      lateWaiting: this.#lateWaiting(nowMs),
      slots: this.#slots,
      isNested: request.isNested,
    });
    if (verdict.kind === "wait") {
      return this.#enqueue(request, nowMs, verdict.maxWaitMs);
    }
    const granted = Promise.resolve(
      verdict.kind === "run"
        ? Result.ok<Grant, RankedRefusal>(this.#grant(nowMs))
        : Result.err<Grant, RankedRefusal>(verdict.reason),
    );
    return { granted, cancel: () => {} };
  }

  /** When a caller that was refused now shall return. */
  retryAfterMs(request: RankedRequest): number {
    return decideRetryAfterMs({
      backlogMs: this.#predictWaitMs(request),
      neededMs: request.neededMs,
      objectiveLeftMs: request.objectiveAtMs - this.#nowMs(),
    });
  }

  /** Refuses whatever still waits. */
  close(): void {
    this.setLeaving(true);
  }

  #predictWaitMs(request: RankedRequest): number {
    const ahead = waitingAhead([...this.#waiting], request) + 1;
    return ahead * this.#serviceTimeMs / this.#slots;
  }

  #lateWaiting(nowMs: number): number {
    let late = 0;
    for (const { objectiveAtMs, neededMs } of this.#waiting) {
      if (objectiveAtMs - nowMs < neededMs) late += 1;
    }
    return late;
  }

  #enqueue(request: AdmitOptions, nowMs: number, maxWaitMs: number) {
    let settle!: (result: Result<Grant, RankedRefusal>) => void;
    const granted = new Promise<Result<Grant, RankedRefusal>>((resolve) => {
      settle = resolve;
    });
    const waiter: Waiter = {
      ...request,
      sinceMs: nowMs,
      timer: undefined,
      settle,
    };
    waiter.timer = setTimeout(
      () => this.#refuse(waiter, "busy"),
      Math.max(0, maxWaitMs),
    );
    this.#waiting.add(waiter);
    return { granted, cancel: () => this.#refuse(waiter, "cancelled") };
  }

  #refuse(waiter: Waiter, reason: RankedRefusal): void {
    if (!this.#waiting.delete(waiter)) return;
    clearTimeout(waiter.timer);
    waiter.settle(Result.err(reason));
  }

  #grant(sinceMs: number): Grant {
    this.#running += 1;
    let released = false;
    return {
      waitedMs: this.#nowMs() - sinceMs,
      release: ({ serviceTimeMs }) => {
        if (released) return;
        released = true;
        this.#running -= 1;
        if (serviceTimeMs !== undefined) {
          this.#serviceTimeMs += SERVICE_TIME_WEIGHT *
            (serviceTimeMs - this.#serviceTimeMs);
        }
        this.#startNext();
      },
    };
  }

  #startNext(): void {
    while (this.#running < this.#slots && this.#waiting.size > 0) {
      const nowMs = this.#nowMs();
      let next: Waiter | undefined;
      for (const waiter of this.#waiting) {
        if (next === undefined || isServedBefore(waiter, next, nowMs)) {
          next = waiter;
        }
      }
      const waiter = next!;
      const verdict = decideRankedStart({
        timeLeftMs: waiter.deadlineAtMs - nowMs,
        neededMs: waiter.neededMs,
      });
      if (verdict !== "run") {
        this.#refuse(waiter, verdict);
        continue;
      }
      this.#waiting.delete(waiter);
      clearTimeout(waiter.timer);
      waiter.settle(Result.ok(this.#grant(waiter.sinceMs)));
    }
  }
}

/** A request that wants a slot. */
export interface AdmitOptions extends RankedRequest {
  readonly deadlineAtMs: number;
  /** Whether a request that is already at work waits for this one. */
  readonly isNested: boolean;
}
