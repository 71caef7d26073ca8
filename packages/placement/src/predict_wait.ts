import type { ReportedLoad } from "./upstream_reports.ts";

/** What is known of an upstream's load. */
export interface KnownLoad {
  readonly load: ReportedLoad;
  /** Average of the last reports, which stays high for an upstream that is preferred by all daemons. */
  readonly usual: UsualLoad;
  readonly ageMs: number;
  /** Requests that this daemon has sent since the report. */
  readonly sentSinceReport: number;
}

/** What an upstream usually holds. */
export interface UsualLoad {
  /** Requests that run or wait, those of less urgent ranks included, as a multiple of the slots. */
  readonly occupancy: number;
  /** Time that a request holds a slot. */
  readonly serviceTimeMs: number;
}

/** Options of `predictWaitMs`. */
export interface PredictWaitOptions {
  /** Undefined without a report. */
  readonly known: KnownLoad | undefined;
  /** What the other upstreams of the service usually hold. */
  readonly usualOfService: UsualLoad;
  readonly slots: number;
  readonly rank: number;
}

/** Requests that run on an upstream and those that wait there with the same or a more urgent rank. */
export function requestsAhead(load: ReportedLoad, rank: number): number {
  let ahead = load.running;
  for (const [waitingRank, count] of load.waitingByRank.entries()) {
    if (waitingRank <= rank) ahead += count;
  }
  return ahead;
}

/**
 * Predicts how long a request of the given rank waits for a slot.
 *
 * Answers the load of a large fleet, in which a daemon sends an upstream one
 * request in seconds: nearly every choice is made without a recent report. An
 * upstream without one is expected to hold what the others of its service hold,
 * not nothing. A reported load moves towards what that upstream itself usually
 * holds while the requests behind the report end. What may have changed since counts too: of two upstreams, the
 * one with more free slots is less likely to be full on arrival.
 */
export function predictWaitMs(options: PredictWaitOptions): number {
  const { known, rank } = options;
  const slots = Math.min(
    options.slots,
    known?.load.capacity?.concurrencyLimit ?? Infinity,
  );
  const usual = known?.usual ?? options.usualOfService;
  const serviceTimeMs = usual.serviceTimeMs / predictWorkRate(known);
  const usualAhead = usual.occupancy * slots;
  const weight = known === undefined ? 0 : reportWeight(known);
  const reported = known === undefined ? 0 : requestsAhead(known.load, rank);
  const sent = known?.sentSinceReport ?? 0;
  const ahead = usualAhead + weight * (reported - usualAhead) + sent;
  const deviation = Math.sqrt(slots * (1 - weight * weight));
  const mustEndFirst = expectedPositivePart(ahead + 1 - slots, deviation);
  const slotWaitMs = mustEndFirst * serviceTimeMs / slots;
  return known === undefined
    ? slotWaitMs
    : Math.max(slotWaitMs, limitWaitMs(known, sent + reported));
}

/** Speed of an upstream, relative to its usual one: that of the report, which returns to 1 as the report ages. */
export function predictWorkRate(known: KnownLoad | undefined): number {
  const capacity = known?.load.capacity;
  if (capacity === undefined) return 1;
  return capacity.workRate ** reportWeight(known!);
}

/** Share of what a report says that still holds: half of the requests behind it have ended after one service time. */
function reportWeight({ load, ageMs }: KnownLoad): number {
  return 0.5 ** (ageMs / load.serviceTimeMs);
}

/**
 * Predicted wait behind the requests that an upstream's limit lets start first; 0 without a limit.
 *
 * Answers the load of a zone that comes back cold, when callers press at each of its upstreams: the starts that become
 * free after the report of a cold one are taken by the requests of other daemons.
 */
function limitWaitMs({ load, ageMs }: KnownLoad, ahead: number): number {
  const { limitPerSecond, startDelayMs = 0, running, capacity } = load;
  if (limitPerSecond === undefined) return 0;
  const waitingAhead = Math.max(0, ahead - running);
  const isCold = (capacity?.coldForMs ?? 0) > ageMs;
  const passedMs = isCold && startDelayMs > 0 ? 0 : ageMs;
  return startDelayMs + waitingAhead * 1_000 / limitPerSecond - passedMs;
}

/** Expected value of the positive part of a normally distributed number, within 1 % of the deviation. */
function expectedPositivePart(mean: number, deviation: number): number {
  if (deviation === 0) return Math.max(0, mean);
  const x = mean / deviation;
  // The logistic function approximates the normal distribution function.
  const shareAbove = 1 / (1 + Math.exp(-1.702 * x));
  const density = Math.exp(-x * x / 2) / Math.sqrt(2 * Math.PI);
  return Math.max(0, mean, mean * shareAbove + deviation * density);
}
