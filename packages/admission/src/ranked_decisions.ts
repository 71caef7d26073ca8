/** Options of `decideRankedAdmission`. */
export interface DecideRankedAdmissionOptions {
  readonly isLeaving: boolean;
  readonly freeSlots: number;
  /** Predicted time until a slot is free for this request. */
  readonly waitMs: number;
  /** Time that the request is expected to hold the slot. */
  readonly neededMs: number;
  readonly timeLeftMs: number;
  /** Longest wait that the caller's daemon accepts. */
  readonly maxWaitMs: number;
}

/**
 * Decides whether a request runs, waits or is refused at once. Answers load
 * above capacity: a request that would be refused after its wait is refused
 * before it, while its caller has time to try elsewhere.
 */
export function decideRankedAdmission(
  options: DecideRankedAdmissionOptions,
): "run" | "wait" | "leaving" | "deadline" | "busy" {
  if (options.isLeaving) return "leaving";
  if (!(options.timeLeftMs > 0)) return "deadline";
  if (options.freeSlots > 0) return "run";
  if (options.waitMs > options.maxWaitMs) return "busy";
  if (options.waitMs + options.neededMs > options.timeLeftMs) return "busy";
  return "wait";
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
