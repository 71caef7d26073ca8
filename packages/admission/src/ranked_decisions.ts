import { isLikelyInTime } from "./ranked_order.ts";

/** Options of `decideRankedAdmission`. */
export interface DecideRankedAdmissionOptions {
  readonly isLeaving: boolean;
  readonly freeSlots: number;
  /** Predicted time until a slot is free for this request. */
  readonly waitMs: number;
  /** Time that the request is expected to hold the slot. */
  readonly neededMs: number;
  /** Time until the latency objective, after which an answer has lost most of its value; negative once it is missed. */
  readonly objectiveLeftMs: number;
  readonly timeLeftMs: number;
  /** Number of waiting requests that can no longer meet their objective. */
  readonly lateWaitingCount: number;
  readonly slots: number;
  /** Whether a request that already holds a slot waits for this one. */
  readonly isNested: boolean;
  /** Whether the request may wait; if not, it is refused unless a slot is free. */
  readonly mayWait: boolean;
  /** Speed at which the upstream works now, relative to its usual speed; 1 by default. */
  readonly workRate?: number;
}

/**
 * Maximum number per slot of waiting requests that can no longer meet their objective: about as many as can run in the
 * pauses within a burst. Nested calls are not limited by it.
 */
const LATE_WAITING_PER_SLOT = 1;

/**
 * Longest wait of a request that can no longer meet its objective, as a share of its service time. Under load above
 * capacity, each late request that is served makes another one late.
 */
const LATE_WAIT_SHARE = 0.25;

/** Whether a new request runs, waits or is refused, and how long it may wait. */
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
 * Limits the queue under overload: if all requests waited, each answer would
 * arrive just too late, and so would the answers to requests that are pipelined
 * behind it on the same connection. So a request usually waits only as long as it
 * can be answered within its objective, and is refused at once otherwise, as
 * another upstream or a later retry may serve it in time.
 * There are two exceptions. A request that no upstream could answer within its
 * objective any more, such as a late retry, waits for a slot that is about to be
 * free, but not longer: it is told at once that it cannot be served. A nested call
 * waits as long as its deadline allows, since a refusal would waste the work of
 * the request that waits for it.
 */
export function decideRankedAdmission(
  options: DecideRankedAdmissionOptions,
): AdmissionVerdict {
  const { waitMs, neededMs, objectiveLeftMs, timeLeftMs } = options;
  if (options.isLeaving) return { kind: "refuse", reason: "leaving" };
  if (!(timeLeftMs > 0)) return { kind: "refuse", reason: "deadline" };
  if (options.freeSlots > 0) {
    return !options.mayWait && isLateBySpeed(options)
      ? { kind: "refuse", reason: "busy" }
      : { kind: "run" };
  }
  if (!options.mayWait) return { kind: "refuse", reason: "busy" };
  const lastStartMs = timeLeftMs - neededMs;
  if (waitMs > lastStartMs) return { kind: "refuse", reason: "busy" };
  if (options.isNested) return { kind: "wait", maxWaitMs: lastStartMs };
  if (isLikelyInTime({ waitMs, neededMs, leftMs: objectiveLeftMs })) {
    return {
      kind: "wait",
      maxWaitMs: Math.min(lastStartMs, objectiveLeftMs - neededMs),
    };
  }
  const isLateEverywhere = objectiveLeftMs < neededMs;
  const lateWaitsLeft = LATE_WAITING_PER_SLOT * options.slots -
    options.lateWaitingCount;
  if (!isLateEverywhere || lateWaitsLeft <= 0) {
    return { kind: "refuse", reason: "busy" };
  }
  const maxWaitMs = Math.min(lastStartMs, LATE_WAIT_SHARE * neededMs);
  return { kind: "wait", maxWaitMs };
}

/** Work rate from which an upstream counts as slow; measured rates of an upstream at its usual speed are above it. */
const SLOW_WORK_RATE = 0.5;

/**
 * Whether a request would miss its objective only since the upstream is slow at the moment. Answers the load of shared
 * hosts: a caller's daemon hardly ever knows how fast an upstream is now, and others are still to be tried.
 */
function isLateBySpeed(
  { neededMs, objectiveLeftMs: leftMs, workRate = 1 }:
    DecideRankedAdmissionOptions,
): boolean {
  const usualMs = neededMs * workRate;
  return workRate <= SLOW_WORK_RATE &&
    !isLikelyInTime({ waitMs: 0, neededMs, leftMs }) &&
    isLikelyInTime({ waitMs: 0, neededMs: usualMs, leftMs });
}

/** Options of `decideRetryAfterMs`. */
export interface DecideRetryAfterOptions {
  /** Predicted time until the waiting requests that precede the refused one have started and another slot is free. */
  readonly backlogMs: number;
  readonly neededMs: number;
  readonly objectiveLeftMs: number;
  /** Time until the caller's deadline. */
  readonly timeLeftMs: number;
}

/** Minimum delay before a refused caller should retry. */
const MIN_RETRY_AFTER_MS = 50;

/**
 * Minimum delay if a retry after the backlog has been served would miss the
 * objective, as a share of the time left. A burst lasts seconds, and with shorter
 * delays a caller would use up its few attempts within the burst.
 */
const LATE_RETRY_SHARE = 0.2;

/**
 * Decides when a refused caller should retry: once the backlog has been served
 * if an answer would then still be on time, otherwise after a longer delay.
 */
export function decideRetryAfterMs(options: DecideRetryAfterOptions): number {
  const { backlogMs, neededMs, objectiveLeftMs, timeLeftMs } = options;
  const isOnTime = isLikelyInTime({
    waitMs: backlogMs,
    neededMs,
    leftMs: objectiveLeftMs,
  });
  return Math.max(
    MIN_RETRY_AFTER_MS,
    isOnTime ? backlogMs : 2 * backlogMs,
    isOnTime ? 0 : LATE_RETRY_SHARE * timeLeftMs,
  );
}

/** Options of `decideRankedStart`. */
export interface DecideRankedStartOptions {
  readonly timeLeftMs: number;
  readonly neededMs: number;
}

/**
 * Decides whether a request that has waited still starts. With less than half
 * of its usual service time left, an answer is too unlikely.
 */
export function decideRankedStart(
  { timeLeftMs, neededMs }: DecideRankedStartOptions,
): "run" | "deadline" {
  return timeLeftMs > neededMs / 2 ? "run" : "deadline";
}
