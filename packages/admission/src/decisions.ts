/** Why a request was not admitted. It has not run. */
export type AdmissionRefusal =
  | "queue_full"
  | "queue_timeout"
  | "leaving"
  | "upstream_silent"
  | "deadline";

/** Classes of requests; the non-idempotent ones have priority. */
export type RequestClass = "idempotent" | "non_idempotent";

/** Waiting requests by class. */
export type WaitingCounts = Readonly<Record<RequestClass, number>>;

/** Options of `predictWaitMs`. */
export interface PredictWaitOptions {
  readonly requestClass: RequestClass;
  readonly waiting: WaitingCounts;
  /** Waiting requests of the same class that are served before. */
  readonly aheadInClass: number;
  readonly idempotentGrantEvery: number;
  readonly slots: number;
  readonly serviceTimeMs: number;
}

/** Predicts how long a new request waits for a slot while all slots are taken. */
export function predictWaitMs(options: PredictWaitOptions): number {
  const grants = GRANTS_BEFORE[options.requestClass](options) + 1;
  return grants * options.serviceTimeMs / options.slots;
}

const GRANTS_BEFORE: Record<
  RequestClass,
  (options: PredictWaitOptions) => number
> = {
  non_idempotent: ({ aheadInClass }) => aheadInClass,
  idempotent({ waiting, aheadInClass, idempotentGrantEvery }) {
    const strict = waiting.non_idempotent + aheadInClass;
    if (idempotentGrantEvery === 0) return strict;
    return Math.min(strict, (aheadInClass + 1) * idempotentGrantEvery - 1);
  },
};

/** Options of `decideAdmission`. */
export interface DecideAdmissionOptions {
  readonly isLeaving: boolean;
  readonly freeSlots: number;
  /** Predicted time until a slot is free. */
  readonly waitMs: number;
  /** Time that half of the requests need with a slot. */
  readonly neededMs: number;
  /** Time until the request's deadline. */
  readonly deadlineMs: number;
  readonly queueTimeoutMs: number;
}

/**
 * Decides whether a new request runs, waits or is refused at once.
 * A request that would be refused after the wait is refused before it, so that
 * its caller has time left to try elsewhere. A free slot is always used: without
 * running requests the measured service time would never be corrected.
 */
export function decideAdmission(
  options: DecideAdmissionOptions,
): "run" | "wait" | AdmissionRefusal {
  if (options.isLeaving) return "leaving";
  if (!(options.deadlineMs > 0)) return "deadline";
  if (options.freeSlots > 0) return "run";
  const canFinish = decideStart({
    timeLeftMs: options.deadlineMs - options.waitMs,
    neededMs: options.neededMs,
  });
  if (canFinish !== "run") return canFinish;
  return options.waitMs < options.queueTimeoutMs ? "wait" : "queue_timeout";
}

/** Options of `decideStart`. */
export interface DecideStartOptions {
  readonly timeLeftMs: number;
  /** Time that half of the requests need with a slot. */
  readonly neededMs: number;
}

/**
 * Decides whether a request that has waited still starts. With less time left
 * than half of the requests need it would more likely end as `unknown`, which a
 * non-idempotent request cannot recover from, and take the slot from another.
 */
export function decideStart(
  { timeLeftMs, neededMs }: DecideStartOptions,
): "run" | "deadline" {
  return timeLeftMs > neededMs ? "run" : "deadline";
}

/** Options of `decideDisplaced`. */
export interface DecideDisplacedOptions {
  /** Waiting requests, the new one included. */
  readonly waiting: WaitingCounts;
  readonly queueLength: number;
  readonly idempotentGrantEvery: number;
}

/**
 * Decides which class loses its last request because the queue is too long.
 * Idempotent requests make room for others. One place stays theirs unless
 * priority is strict, because a class that cannot wait gets none of the slots
 * reserved for it.
 */
export function decideDisplaced(
  { waiting, queueLength, idempotentGrantEvery }: DecideDisplacedOptions,
): RequestClass | undefined {
  const kept = idempotentGrantEvery > 0 && queueLength > 1 ? 1 : 0;
  if (waiting.non_idempotent > queueLength - kept) return "non_idempotent";
  const total = waiting.non_idempotent + waiting.idempotent;
  return total > queueLength ? "idempotent" : undefined;
}

/** Options of `decideNextClass`. */
export interface DecideNextClassOptions {
  readonly waiting: WaitingCounts;
  /** Slots given to non-idempotent requests in a row while idempotent ones waited. */
  readonly passedOver: number;
  /** Every n-th slot goes to a waiting idempotent request; 0 for strict priority. */
  readonly idempotentGrantEvery: number;
}

/** Decides which class gets a slot that has become free, or undefined if none waits. */
export function decideNextClass(
  { waiting, passedOver, idempotentGrantEvery }: DecideNextClassOptions,
): RequestClass | undefined {
  if (waiting.idempotent === 0) {
    return waiting.non_idempotent > 0 ? "non_idempotent" : undefined;
  }
  if (waiting.non_idempotent === 0) return "idempotent";
  const isTurn = idempotentGrantEvery > 0 &&
    passedOver >= idempotentGrantEvery - 1;
  return isTurn ? "idempotent" : "non_idempotent";
}
