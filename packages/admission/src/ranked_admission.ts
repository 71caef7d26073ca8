import { Result } from "true-myth";
import {
  decideRankedAdmission,
  decideRankedStart,
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
      timeLeftMs: request.deadlineAtMs - nowMs,
      maxWaitMs: request.maxWaitMs,
    });
    if (verdict === "run") {
      const granted = Promise.resolve(Result.ok<Grant, RankedRefusal>(
        this.#grant(nowMs),
      ));
      return { granted, cancel: () => {} };
    }
    if (verdict !== "wait") {
      const granted = Promise.resolve(
        Result.err<Grant, RankedRefusal>(verdict),
      );
      return { granted, cancel: () => {} };
    }
    return this.#enqueue(request, nowMs);
  }

  /** Refuses whatever still waits. */
  close(): void {
    this.setLeaving(true);
  }

  #predictWaitMs(request: RankedRequest): number {
    const ahead = waitingAhead([...this.#waiting], request) + 1;
    return ahead * this.#serviceTimeMs / this.#slots;
  }

  #enqueue(request: AdmitOptions, nowMs: number) {
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
    // With less time left than the request needs, a slot would be wasted on it.
    const lastStartMs = request.deadlineAtMs - request.neededMs - nowMs;
    waiter.timer = setTimeout(
      () => this.#refuse(waiter, "deadline"),
      Math.max(0, lastStartMs),
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
  /** Time that the request is expected to hold the slot. */
  readonly neededMs: number;
  /** Longest wait that is worth it for the caller's daemon, which may know better places. */
  readonly maxWaitMs: number;
}
