/** Options of `decideRankedAdmission`. */
export interface DecideRankedAdmissionOptions {
  readonly isLeaving: boolean;
  readonly freeSlots: number;
  /** Predicted time until a slot is free for this request. */
  readonly waitMs: number;
  /** Time that the request is expected to hold the slot. */
  readonly neededMs: number;
  /** Time until the answer loses most of its value; negative if that has passed. */
  readonly objectiveLeftMs: number;
  readonly timeLeftMs: number;
  /** Requests that wait although they are late. */
  readonly lateWaiting: number;
  readonly slots: number;
  /** Whether a request that is already at work waits for this one. */
  readonly isNested: boolean;
}

/** Late requests that may wait, relative to the slots: what the pauses of a burst have room for. */
const LATE_WAITING_SHARE = 1;

/** What becomes of a new request, and for how long it may wait. */
export type AdmissionVerdict =
  | { readonly kind: "run" }
  | { readonly kind: "wait"; readonly maxWaitMs: number }
  | {
    readonly kind: "refuse";
    readonly reason: "leaving" | "deadline" | "busy";
  };

/**
 * Decides whether a request runs, waits or is refused at once.
 *
 * Answers load above capacity. If all waited, each answer would come just too
 * late, and whatever is pipelined behind it as well. So a request waits while
 * it can still be answered within its objective, and is refused at once
 * otherwise: elsewhere, or a little later, it may have room. A caller that has
 * returned is late in any case and waits for a pause. A call of a request at
 * work always waits, since a refusal would waste that work.
 */
export function decideRankedAdmission(
  options: DecideRankedAdmissionOptions,
): AdmissionVerdict {
  const { waitMs, neededMs, objectiveLeftMs, timeLeftMs } = options;
  if (options.isLeaving) return { kind: "refuse", reason: "leaving" };
  if (!(timeLeftMs > 0)) return { kind: "refuse", reason: "deadline" };
  if (options.freeSlots > 0) return { kind: "run" };
  const lastStartMs = timeLeftMs - neededMs;
  if (waitMs > lastStartMs) return { kind: "refuse", reason: "busy" };
  if (options.isNested) return { kind: "wait", maxWaitMs: lastStartMs };
  if (waitMs + neededMs <= objectiveLeftMs) {
    return {
      kind: "wait",
      maxWaitMs: Math.min(lastStartMs, objectiveLeftMs),
    };
  }
  const isLateAnywhere = objectiveLeftMs < neededMs;
  const lateRoom = LATE_WAITING_SHARE * options.slots - options.lateWaiting;
  return isLateAnywhere && lateRoom > 0
    ? { kind: "wait", maxWaitMs: lastStartMs }
    : { kind: "refuse", reason: "busy" };
}

/** Options of `decideRetryAfterMs`. */
export interface DecideRetryAfterOptions {
  /** Time until what waits now has been served. */
  readonly backlogMs: number;
  readonly neededMs: number;
  readonly objectiveLeftMs: number;
}

/** Least time after which a refused caller is told to return. */
const MIN_RETRY_AFTER_MS = 50;

/**
 * Pause for a caller that cannot be on time any more. A burst lasts seconds; a
 * caller has few attempts and would spend them within the burst.
 */
const LATE_RETRY_AFTER_MS = 800;

/**
 * Decides when a refused caller shall return: when the backlog is served if an
 * answer is then still on time, else after a pause.
 */
export function decideRetryAfterMs(options: DecideRetryAfterOptions): number {
  const { backlogMs, neededMs, objectiveLeftMs } = options;
  if (backlogMs + neededMs <= objectiveLeftMs) {
    return Math.max(MIN_RETRY_AFTER_MS, backlogMs);
  }
  return Math.max(LATE_RETRY_AFTER_MS, 2 * backlogMs);
}

/** Options of `decideRankedStart`. */
export interface DecideRankedStartOptions {
  readonly timeLeftMs: number;
  readonly neededMs: number;
}

/**
 * Decides whether a request that has waited still starts. Half of the time it
 * usually needs is the least with which an answer is likely enough.
 */
export function decideRankedStart(
  { timeLeftMs, neededMs }: DecideRankedStartOptions,
): "run" | "deadline" {
  return timeLeftMs > neededMs / 2 ? "run" : "deadline";
}
