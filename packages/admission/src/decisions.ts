/** Why a request was not admitted. It has not run. */
export type AdmissionRefusal =
  | "queue_full"
  | "queue_timeout"
  | "leaving"
  | "upstream_silent"
  | "deadline";

/** Request classes; non-idempotent requests have priority. */
export type RequestClass = "idempotent" | "non_idempotent";

/** Number of waiting requests by class. */
export type WaitingCounts = Readonly<Record<RequestClass, number>>;

/** Options of `predictWaitMs`. */
export interface PredictWaitOptions {
  readonly requestClass: RequestClass;
  readonly waiting: WaitingCounts;
  /** Waiting requests of the same class that are served before the new one. */
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
    const strictGrants = waiting.non_idempotent + aheadInClass;
    if (idempotentGrantEvery === 0) return strictGrants;
    return Math.min(
      strictGrants,
      (aheadInClass + 1) * idempotentGrantEvery - 1,
    );
  },
};

/** Options of `decideAdmission`. */
export interface DecideAdmissionOptions {
  readonly isLeaving: boolean;
  readonly freeSlots: number;
  /** Predicted time until a slot is free. */
  readonly waitMs: number;
  /** Median time that a request holds a slot. */
  readonly neededMs: number;
  /** Time until the request's deadline. */
  readonly deadlineMs: number;
  readonly queueTimeoutMs: number;
}

/**
 * Decides whether a new request runs, waits or is refused at once.
 * A request that would be refused after its wait is refused at once, so that its
 * caller has time left to try another upstream. A free slot is used even if the
 * median service time exceeds the time left: without running requests the
 * measured service time would never be updated.
 */
export function decideAdmission(
  options: DecideAdmissionOptions,
): "run" | "wait" | AdmissionRefusal {
  if (options.isLeaving) return "leaving";
  if (!(options.deadlineMs > 0)) return "deadline";
  if (options.freeSlots > 0) return "run";
  const startVerdict = decideStart({
    timeLeftMs: options.deadlineMs - options.waitMs,
    neededMs: options.neededMs,
  });
  if (startVerdict !== "run") return startVerdict;
  return options.waitMs < options.queueTimeoutMs ? "wait" : "queue_timeout";
}

/** Options of `decideStart`. */
export interface DecideStartOptions {
  readonly timeLeftMs: number;
  /** Median time that a request holds a slot. */
  readonly neededMs: number;
}

/**
 * Decides whether a request that has waited still starts. With less time left
 * than the median service time it would probably end with the outcome `unknown`,
 * after which a non-idempotent request cannot be retried, and would occupy a slot
 * that another request could use.
 */
export function decideStart(
  { timeLeftMs, neededMs }: DecideStartOptions,
): "run" | "deadline" {
  return timeLeftMs > neededMs ? "run" : "deadline";
}

/** Options of `decideDisplacedClass`. */
export interface DecideDisplacedClassOptions {
  /** Waiting requests, including the new one. */
  readonly waiting: WaitingCounts;
  readonly queueLength: number;
  readonly idempotentGrantEvery: number;
}

/**
 * Decides from which class a request is removed if the queue is too long;
 * undefined if it is not. Idempotent requests are displaced first, but one queue
 * entry stays reserved for them: if none of them could wait, they would never get
 * the slots that `idempotentGrantEvery` reserves for them. Nothing is reserved if
 * `idempotentGrantEvery` is 0 or `queueLength` is below 2.
 */
export function decideDisplacedClass(
  { waiting, queueLength, idempotentGrantEvery }: DecideDisplacedClassOptions,
): RequestClass | undefined {
  const reserved = idempotentGrantEvery > 0 && queueLength > 1 ? 1 : 0;
  if (waiting.non_idempotent > queueLength - reserved) return "non_idempotent";
  const total = waiting.non_idempotent + waiting.idempotent;
  return total > queueLength ? "idempotent" : undefined;
}

/** Options of `decideNextClass`. */
export interface DecideNextClassOptions {
  readonly waiting: WaitingCounts;
  /** Consecutive slots given to non-idempotent requests while idempotent ones waited. */
  readonly grantsSinceIdempotent: number;
  /**
   * While requests of both classes wait, every n-th free slot goes to an idempotent request; this is n. With 0,
   * non-idempotent requests always go first.
   */
  readonly idempotentGrantEvery: number;
}

/** Decides which class gets a free slot; undefined if no request waits. */
export function decideNextClass(
  { waiting, grantsSinceIdempotent, idempotentGrantEvery }:
    DecideNextClassOptions,
): RequestClass | undefined {
  if (waiting.idempotent === 0) {
    return waiting.non_idempotent > 0 ? "non_idempotent" : undefined;
  }
  if (waiting.non_idempotent === 0) return "idempotent";
  const isIdempotentTurn = idempotentGrantEvery > 0 &&
    grantsSinceIdempotent >= idempotentGrantEvery - 1;
  return isIdempotentTurn ? "idempotent" : "non_idempotent";
}
