/** Options of `acceptableWaitMs`. */
export interface AcceptableWaitOptions {
  /** Predicted time that the upstream takes for the request. */
  readonly serviceMs: number;
  readonly timeLeftMs: number;
  /** Time until the answer loses most of its value; negative if that has passed. */
  readonly objectiveLeftMs: number;
  /** Other upstreams that could run the request. */
  readonly untried: number;
}

/** Least wait that is accepted; asking elsewhere takes a few milliseconds itself. */
const MIN_WAIT_MS = 50;

/**
 * Longest wait for a slot at an upstream before another one is asked. A request
 * that is late wherever it goes waits where it is: under load on all zones it
 * would only be passed from one to the next.
 */
export function acceptableWaitMs(options: AcceptableWaitOptions): number {
  const { serviceMs, timeLeftMs, objectiveLeftMs, untried } = options;
  const spareMs = objectiveLeftMs - serviceMs;
  if (untried === 0 || spareMs < 0) return timeLeftMs;
  return Math.max(MIN_WAIT_MS, spareMs);
}
