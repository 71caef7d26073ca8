/** How one request at an upstream ended, as its owner daemon measures it. */
export interface MeasuredRun {
  readonly route: string;
  /** Time from the send to the whole answer. */
  readonly serviceMs: number;
  /** Requests at work when it began, this one included. */
  readonly concurrency: number;
  /** Part of the time in which the upstream waited for requests of its own; 0 by default. */
  readonly ownCallsMs?: number;
}

/** What admission asks of the part that learns how much an upstream takes well. */
export interface UpstreamCapacity {
  /** Requests that the upstream runs well at once now, from 1 to its slots. */
  readonly concurrencyLimit: number;
  /** Speed at which the upstream works now, relative to its usual speed; 1 is as usual. */
  readonly workRate: number;
  setSlots(slots: number): void;
  recordRun(run: MeasuredRun): void;
}
