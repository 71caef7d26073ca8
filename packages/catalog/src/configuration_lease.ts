/** An instant on both clocks of this process. */
export interface Instant {
  /** On the steady clock, which stands still while the VM is suspended. */
  readonly steadyMs: number;
  /** On the clock of the time of day, which goes on then, but may be set. */
  readonly wallMs: number;
}

/** Reads both clocks of this process. */
export type ReadClocks = () => Instant;

/** Reads the clocks of Node.js. */
export function readClocks(): Instant {
  return { steadyMs: performance.now(), wallMs: Date.now() };
}

/** The instant some time after another one; before it if the time is negative. */
export function shiftInstant(
  { steadyMs, wallMs }: Instant,
  byMs: number,
): Instant {
  return { steadyMs: steadyMs + byMs, wallMs: wallMs + byMs };
}

/** Time by which a timer of the platform may end a watch too early, as measured here. */
const TIMER_TOLERANCE_MS = 5;

/** Options of `decideWatchConfirmation`. */
export interface DecideWatchConfirmationOptions {
  readonly startedAt: Instant;
  /** Time from the start to the answer on the steady clock. */
  readonly elapsedMs: number;
  /** Wait that the watch asked for. */
  readonly waitMs: number;
  /** Whether the platform had nothing to tell. */
  readonly isUnchanged: boolean;
}

/**
 * Decides for which instant the answer to a watch confirms that nothing newer had been written. Any answer of the
 * platform holds all that was acknowledged before its call began. A watch that ended at its timeout also had no event
 * until then, and the platform began to wait no sooner than the call began.
 */
export function decideWatchConfirmation(
  { startedAt, elapsedMs, waitMs, isUnchanged }: DecideWatchConfirmationOptions,
): Instant {
  const waitedMs = waitMs - TIMER_TOLERANCE_MS;
  return isUnchanged && elapsedMs >= waitedMs
    ? shiftInstant(startedAt, waitedMs)
    : startedAt;
}

/**
 * How long the version in force here has been known to be the newest one. The clocks of two VMs are never compared: a
 * daemon tells another one only how long ago the platform confirmed its version, and each hop adds to that time.
 */
export class ConfigurationLease {
  readonly #readClocks: ReadClocks;
  #confirmedAt: Instant | undefined;

  constructor(options: { readonly readClocks?: ReadClocks } = {}) {
    this.#readClocks = options.readClocks ?? readClocks;
  }

  now(): Instant {
    return this.#readClocks();
  }

  /**
   * Time since the last confirmation, at least as long as the true one; infinite before the first. The clock of the time
   * of day counts suspensions. If it is set forward, the lease is short until the next confirmation.
   */
  get ageMs(): number {
    return this.#confirmedAt === undefined
      ? Infinity
      : ageOf(this.#confirmedAt, this.now());
  }

  /** Takes a confirmation of the version in force, unless a later one is known; returns by how much the age fell. */
  confirm(at: Instant): number {
    const formerAgeMs = this.ageMs;
    const ageMs = ageOf(at, this.now());
    if (ageMs >= formerAgeMs) return 0;
    this.#confirmedAt = at;
    return formerAgeMs - ageMs;
  }
}

function ageOf(at: Instant, now: Instant): number {
  return Math.max(now.steadyMs - at.steadyMs, now.wallMs - at.wallMs);
}
