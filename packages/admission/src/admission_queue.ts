import { Result } from "true-myth";
import { type Clock, systemClock, type Timer } from "./clock.ts";
import {
  type AdmissionRefusal,
  decideAdmission,
  decideDisplacedClass,
  decideNextClass,
  decideStart,
  predictWaitMs,
  type RequestClass,
  type WaitingCounts,
} from "./decisions.ts";
import {
  QUEUE_ORDERS,
  type QueueOrder,
  type QueueOrderHandler,
} from "./queue_order.ts";
import { ServiceTimes } from "./service_times.ts";

/** Options of `AdmissionQueue`. */
export interface AdmissionQueueOptions {
  /** Maximum number of requests that run at once. */
  readonly slots: number;
  /** Maximum number of waiting requests; 4 × `slots` by default. */
  readonly queueLength?: number;
  readonly queueTimeoutMs?: number;
  readonly queueOrder?: QueueOrder;
  /**
   * While requests of both classes wait, every n-th free slot goes to an idempotent request; this is n. With 0,
   * non-idempotent requests always go first.
   */
  readonly idempotentGrantEvery?: number;
  /** Time during which waiting requests may still start after `setLeaving`. */
  readonly leavingGraceMs?: number;
  readonly clock?: Clock;
}

/** A request for a slot. */
export interface AdmissionRequest {
  readonly idempotent: boolean;
  /** Time left until the request's deadline, as in the header `tanagercove-deadline-ms`. */
  readonly deadlineMs: number;
  /** Aborted when the caller disconnects; a request that has no slot yet then ends with `deadline`. */
  readonly signal?: AbortSignal;
}

/** A slot that a request holds. */
export interface Admission {
  /** Releases the slot. Only the first call has an effect. */
  release(): void;
}

type Verdict = Result<Admission, AdmissionRefusal>;

interface Waiter {
  /** Clock time of the request's deadline. */
  readonly deadlineAtMs: number;
  settle(verdict: Verdict): void;
}

const DEFAULT_QUEUE_PER_SLOT = 4;
const DEFAULT_QUEUE_TIMEOUT_MS = 1_000;
const DEFAULT_QUEUE_ORDER: QueueOrder = "oldest_first";
const DEFAULT_IDEMPOTENT_GRANT_EVERY = 16;

/**
 * Requests that wait when the VM starts to leave were sent before callers knew
 * of it, and refusing them would cost each caller a retry token. A queue of
 * 4 × slots is served within a few service times. One second is well below the
 * 3 s after which a leaving VM may start no new work.
 */
const DEFAULT_LEAVING_GRACE_MS = 1_000;

/** Limits the requests that run on one upstream and queues a bounded number of others. */
export class AdmissionQueue {
  readonly #slots: number;
  readonly #queueLength: number;
  readonly #queueTimeoutMs: number;
  readonly #order: QueueOrderHandler;
  readonly #idempotentGrantEvery: number;
  readonly #leavingGraceMs: number;
  readonly #clock: Clock;
  readonly #serviceTimes = new ServiceTimes();
  readonly #waiting: Record<RequestClass, Waiter[]> = {
    idempotent: [],
    non_idempotent: [],
  };
  #runningCount = 0;
  #grantsSinceIdempotent = 0;
  #isLeaving = false;
  #leavingTimer: Timer | undefined;
  #idleCallbacks: (() => void)[] = [];

  constructor(options: AdmissionQueueOptions) {
    this.#slots = options.slots;
    this.#queueLength = options.queueLength ??
      DEFAULT_QUEUE_PER_SLOT * options.slots;
    this.#queueTimeoutMs = options.queueTimeoutMs ?? DEFAULT_QUEUE_TIMEOUT_MS;
    this.#order = QUEUE_ORDERS[options.queueOrder ?? DEFAULT_QUEUE_ORDER];
    this.#idempotentGrantEvery = options.idempotentGrantEvery ??
      DEFAULT_IDEMPOTENT_GRANT_EVERY;
    this.#leavingGraceMs = options.leavingGraceMs ?? DEFAULT_LEAVING_GRACE_MS;
    this.#clock = options.clock ?? systemClock;
  }

  /** Number of requests that hold a slot. */
  get runningCount(): number {
    return this.#runningCount;
  }

  /** Number of waiting requests by class. */
  get waitingCounts(): WaitingCounts {
    return {
      idempotent: this.#waiting.idempotent.length,
      non_idempotent: this.#waiting.non_idempotent.length,
    };
  }

  /** Requests a slot and waits for it if necessary. A refused request has not run. */
  admit(request: AdmissionRequest): Promise<Verdict> {
    const requestClass = request.idempotent ? "idempotent" : "non_idempotent";
    const verdict = decideAdmission({
      isLeaving: this.#isLeaving,
      freeSlots: this.#slots - this.#runningCount,
      waitMs: this.#predictWaitMs(requestClass),
      neededMs: this.#serviceTimes.medianMs,
      deadlineMs: request.signal?.aborted ? 0 : request.deadlineMs,
      queueTimeoutMs: this.#queueTimeoutMs,
    });
    if (verdict === "run") return Promise.resolve(this.#grant());
    if (verdict !== "wait") return Promise.resolve(Result.err(verdict));
    return new Promise((resolve) =>
      this.#enqueue(requestClass, request, resolve)
    );
  }

  /** Refuses new requests; waiting ones may still start for `leavingGraceMs`. */
  setLeaving(): void {
    if (this.#isLeaving) return;
    this.#isLeaving = true;
    this.#leavingTimer = this.#clock.setTimer(
      () => this.refuseWaiting("leaving"),
      this.#leavingGraceMs,
    );
  }

  /** Refuses all requests that are waiting now. */
  refuseWaiting(refusal: AdmissionRefusal): void {
    for (const waiting of Object.values(this.#waiting)) {
      for (const waiter of waiting.splice(0)) {
        waiter.settle(Result.err(refusal));
      }
    }
  }

  /** Refuses new and waiting requests and resolves when no request holds a slot. */
  async close(): Promise<void> {
    this.#isLeaving = true;
    this.#leavingTimer?.cancel();
    this.refuseWaiting("leaving");
    if (this.#runningCount === 0) return;
    await new Promise<void>((resolve) => this.#idleCallbacks.push(resolve));
  }

  #predictWaitMs(requestClass: RequestClass): number {
    const waiting = this.waitingCounts;
    return predictWaitMs({
      requestClass,
      waiting,
      aheadInClass: this.#order.countAheadOfNew(waiting[requestClass]),
      idempotentGrantEvery: this.#idempotentGrantEvery,
      slots: this.#slots,
      serviceTimeMs: this.#serviceTimes.meanMs,
    });
  }

  #enqueue(
    requestClass: RequestClass,
    { deadlineMs, signal }: AdmissionRequest,
    resolve: (verdict: Verdict) => void,
  ): void {
    const waiting = this.#waiting[requestClass];
    const refuse = (refusal: AdmissionRefusal) => {
      waiting.splice(waiting.indexOf(waiter), 1);
      waiter.settle(Result.err(refusal));
    };
    const onAbort = () => refuse("deadline");
    const timer = this.#clock.setTimer(
      () =>
        refuse(
          deadlineMs < this.#queueTimeoutMs ? "deadline" : "queue_timeout",
        ),
      Math.min(deadlineMs, this.#queueTimeoutMs),
    );
    const waiter: Waiter = {
      deadlineAtMs: this.#clock.nowMs() + deadlineMs,
      settle(verdict) {
        timer.cancel();
        signal?.removeEventListener("abort", onAbort);
        resolve(verdict);
      },
    };
    signal?.addEventListener("abort", onAbort);
    waiting.push(waiter);
    this.#displace();
  }

  #displace(): void {
    const displacedClass = decideDisplacedClass({
      waiting: this.waitingCounts,
      queueLength: this.#queueLength,
      idempotentGrantEvery: this.#idempotentGrantEvery,
    });
    if (displacedClass === undefined) return;
    this.#order.takeLast(this.#waiting[displacedClass])
      ?.settle(Result.err("queue_full"));
  }

  #grant(): Verdict {
    this.#runningCount += 1;
    const startedMs = this.#clock.nowMs();
    let isReleased = false;
    return Result.ok({
      release: () => {
        if (isReleased) return;
        isReleased = true;
        this.#release(this.#clock.nowMs() - startedMs);
      },
    });
  }

  #release(serviceTimeMs: number): void {
    this.#runningCount -= 1;
    this.#serviceTimes.record(serviceTimeMs);
    this.#startNext();
    if (this.#runningCount > 0) return;
    for (const resolve of this.#idleCallbacks.splice(0)) resolve();
  }

  #startNext(): void {
    for (;;) {
      const waiter = this.#takeNext();
      if (waiter === undefined) return;
      const verdict = decideStart({
        timeLeftMs: waiter.deadlineAtMs - this.#clock.nowMs(),
        neededMs: this.#serviceTimes.medianMs,
      });
      if (verdict === "run") return waiter.settle(this.#grant());
      waiter.settle(Result.err(verdict));
    }
  }

  #takeNext(): Waiter | undefined {
    const waiting = this.waitingCounts;
    const nextClass = decideNextClass({
      waiting,
      grantsSinceIdempotent: this.#grantsSinceIdempotent,
      idempotentGrantEvery: this.#idempotentGrantEvery,
    });
    if (nextClass === undefined) return undefined;
    const skipsIdempotent = nextClass === "non_idempotent" &&
      waiting.idempotent > 0;
    this.#grantsSinceIdempotent = skipsIdempotent
      ? this.#grantsSinceIdempotent + 1
      : 0;
    return this.#order.takeNext(this.#waiting[nextClass]);
  }
}
