import { isLikelyInTime } from "./ranked_order.ts";

/** Options of `decideReturn`. */
export interface DecideReturnOptions {
  /** Predicted time until the waiting requests that precede the refused one have started. */
  readonly backlogMs: number;
  /** Time until the next interval that no other refused caller was told. */
  readonly freeInMs: number;
  readonly neededMs: number;
  readonly objectiveLeftMs: number;
  readonly timeLeftMs: number;
  /** Number from 0 to 1 that spreads the returns of late callers. */
  readonly spread: number;
}

/** When a refused caller comes back, and whether it takes the next interval. */
export interface ReturnDecision {
  readonly afterMs: number;
  readonly takesInterval: boolean;
}

/** Callers wait for at most this share of the time that they have left, whatever they are told. */
const MAX_HONOURED_SHARE = 1 / 3;

/**
 * Decides when a refused caller comes back.
 *
 * Answers the load of many refusals at once: callers that are all told the same
 * time come back together, find one free slot, and are refused again. Each takes
 * an interval of its own, in which a slot becomes free. One that has waited before
 * and cannot wait for its interval comes as late as it can still be in time, and so
 * before those who can wait longer. One that will be late in any case comes in the
 * second half of the time that it honours, since a burst lasts for seconds.
 */
export function decideReturn(options: DecideReturnOptions): ReturnDecision {
  const { backlogMs, neededMs, objectiveLeftMs: leftMs } = options;
  const honouredMs = MAX_HONOURED_SHARE * options.timeLeftMs;
  const intervalMs = Math.max(backlogMs, options.freeInMs);
  const isInTime = (waitMs: number) =>
    waitMs <= honouredMs && isLikelyInTime({ waitMs, neededMs, leftMs });
  if (isInTime(intervalMs)) return { afterMs: intervalMs, takesInterval: true };
  if (isInTime(backlogMs)) {
    return { afterMs: backlogMs, takesInterval: false };
  }
  const lateMs = honouredMs * (0.5 + 0.5 * options.spread);
  return { afterMs: Math.max(0, lateMs), takesInterval: false };
}

/** A refused caller that is told when to come back. */
export interface RefusedCaller {
  readonly service: string;
  readonly route: string;
  readonly deadlineAtMs: number;
}

/** Options of `ReturnBook.plan`. */
export interface PlanReturnOptions
  extends Omit<DecideReturnOptions, "freeInMs" | "spread"> {
  readonly caller: RefusedCaller;
  /** Time in which this daemon's share of the service's slots sets one slot free. */
  readonly slotIntervalMs: number;
}

/** Options of `ReturnBook`. */
export interface ReturnBookOptions {
  readonly nowMs: () => number;
  /** Returns a number from 0 (included) to 1 (excluded). */
  readonly random: () => number;
}

interface ToldReturn {
  readonly route: string;
  readonly deadlineAtMs: number;
  readonly returnAtMs: number;
}

/** Difference of two deadlines up to which they are of one caller; they are told in whole milliseconds, and travel. */
const SAME_DEADLINE_MS = 4;

/** Share of the told time after which a return is not early: clocks and timers differ. */
const EARLY_SHARE = 0.9;

/** Limit of the returns kept; the oldest are forgotten first. */
const MAX_TOLD = 512;

/** Shortest time that a caller is told. */
const MIN_RETURN_MS = 50;

/**
 * Plans when refused callers come back, and knows those that come earlier.
 *
 * Answers callers that repeat at once and often: each repeat would be one more chance to find a slot that becomes free,
 * at the expense of those who wait as told. The deadline tells them apart, since it does not change between attempts.
 */
export class ReturnBook {
  readonly #options: ReturnBookOptions;
  readonly #freeAtMs = new Map<string, number>();
  #told: ToldReturn[] = [];

  constructor(options: ReturnBookOptions) {
    this.#options = options;
  }

  /** Time after which a caller that is refused now comes back. */
  plan(options: PlanReturnOptions): number {
    const { caller: { service, route, deadlineAtMs } } = options;
    const nowMs = this.#options.nowMs();
    const earlyMs = this.earlyMs(options.caller);
    if (earlyMs > 0) return earlyMs;
    const freeAtMs = this.#freeAtMs.get(service) ?? nowMs;
    const { afterMs, takesInterval } = decideReturn({
      ...options,
      freeInMs: freeAtMs - nowMs,
      spread: this.#options.random(),
    });
    if (takesInterval) {
      this.#freeAtMs.set(service, nowMs + afterMs + options.slotIntervalMs);
    }
    const toldMs = Math.max(MIN_RETURN_MS, afterMs);
    const honouredMs = Math.min(
      toldMs,
      MAX_HONOURED_SHARE * options.timeLeftMs,
    );
    this.#told = this.#told.filter(({ returnAtMs }) => returnAtMs > nowMs)
      .slice(-MAX_TOLD + 1);
    this.#told.push({
      route,
      deadlineAtMs,
      returnAtMs: nowMs + EARLY_SHARE * honouredMs,
    });
    return toldMs;
  }

  /** Time by which a caller that was refused comes back before it was told to; 0 if it does not. */
  earlyMs(
    { route, deadlineAtMs }: Pick<RefusedCaller, "route" | "deadlineAtMs">,
  ): number {
    const nowMs = this.#options.nowMs();
    const told = this.#told.findLast((entry) =>
      entry.route === route &&
      Math.abs(entry.deadlineAtMs - deadlineAtMs) <= SAME_DEADLINE_MS
    );
    return told === undefined ? 0 : Math.max(0, told.returnAtMs - nowMs);
  }
}
