import type { PaceLimit } from "./cold_start_pace.ts";

/**
 * What is known of the warmth of an upstream.
 *
 * - `warm`: it has answered lately on a connection that it has had since it was known to be warm.
 * - `unproven`: nothing shows that it has restarted, and nothing shows that it has not.
 * - `doubted`: something shows that it may have restarted, or nothing is known of it at all.
 * - `cold`: it says so itself, or its entry does.
 */
export type Warmth = "warm" | "unproven" | "doubted" | "cold";

/** Where the knowledge of a cold time comes from. */
export type ColdSource = "health_check" | "entry";

/** Why an upstream is doubted. */
export type DoubtReason =
  | "daemon_started"
  | "connect_failed"
  | "connection_cut"
  | "upstream_changed"
  | "entry"
  | "evacuation";

/**
 * What refutes a doubt, beside all that is named after it: a request that is still in flight on an older connection, the
 * answer to a later request on such a connection, or a health answer.
 */
const REFUTATIONS = ["survivor", "connection", "health_answer"] as const;

/** The least that refutes a doubt. An upstream may be cold without a restart after an evacuation, or by a new entry. */
const LEAST_REFUTATION: Readonly<
  Record<DoubtReason, typeof REFUTATIONS[number]>
> = {
  connection_cut: "survivor",
  daemon_started: "connection",
  connect_failed: "connection",
  upstream_changed: "connection",
  entry: "health_answer",
  evacuation: "health_answer",
};

/** Requests in any second that an upstream gets while it is not known to be warm. */
export interface ColdLimits {
  readonly coldPerSecond: number;
  readonly unprovenPerSecond: number;
  /** Limit in the first second of a daemon, as the one before it may have sent as many as an unproven upstream gets. */
  readonly startPerSecond: number;
}

/** Options of `decideColdLimits`. */
export interface DecideColdLimitsOptions {
  /** Requests per second that a cold upstream bears. */
  readonly requestsPerSecond: number;
  /** Multiple of these, and requests on top of it, above which the platform's bound is broken. */
  readonly overFactor: number;
  readonly slackCount: number;
}

/** Share of the slack that is used before it is known whether the upstream is cold; the rest is left for late arrivals. */
const UNPROVEN_SLACK_SHARE = 0.5;

/**
 * Decides how many requests a second an upstream gets. A cold one gets what it bears, since it crashes above that. One
 * that is merely unproven gets more, but no more than it may get if it turns out to be cold.
 */
export function decideColdLimits(
  { requestsPerSecond, overFactor, slackCount }: DecideColdLimitsOptions,
): ColdLimits {
  const bound = requestsPerSecond * overFactor + slackCount;
  const unproven = requestsPerSecond * overFactor +
    UNPROVEN_SLACK_SHARE * slackCount;
  const coldPerSecond = Math.max(
    1,
    Math.floor(Math.min(requestsPerSecond, bound)),
  );
  const unprovenPerSecond = Math.max(coldPerSecond, Math.floor(unproven));
  return {
    coldPerSecond,
    unprovenPerSecond,
    startPerSecond: Math.max(1, Math.floor(bound) - unprovenPerSecond),
  };
}

/** An answer of the upstream to a request. */
export interface ColdEvidence {
  /** Time at which the connection was opened. */
  readonly openedAtMs: number;
  /** Time at which the request began. */
  readonly begunAtMs: number;
  readonly nowMs: number;
}

/** The answer to a health check. */
export interface ColdHealth {
  /** Time for which the upstream stays cold; undefined if the answer does not say so readably. */
  readonly coldForMs: number | undefined;
  readonly askedAtMs: number;
  readonly nowMs: number;
}

/**
 * Time since the last proof within which an upstream counts as warm. A restart that goes unseen, as one behind silent
 * connections, thus costs at most the requests of this time, and those are sent on connections that the restart ended.
 */
const PROOF_MAX_AGE_MS = 1_000;

/**
 * Time after a connection was cut until those that are still open show that the upstream has not restarted. A restart
 * ends all of them at once, but their ends may be read one after the other.
 */
export const SURVIVAL_MS = 20;

/**
 * Age of the last proof up to which a cut is refuted by connections that are still open. After a silence, the connections
 * to the former process end one after the other, as something is sent on them.
 */
const SURVIVAL_PROOF_AGE_MS = 250;

/**
 * Time for which requests wait for the refutation of a new doubt, most of which are refuted by a health answer within
 * milliseconds; only then are those refused that cannot start in time.
 */
export const DOUBT_HOLD_MS = 50;

/** Connections that are opened this soon after a proof belong to the same process; a restart takes longer. */
const PROOF_GRACE_MS = 50;

/**
 * What this daemon knows of whether its upstream is cold.
 *
 * A restart ends all connections. So an answer on a connection that is older than the last proof shows that the upstream
 * has not restarted meanwhile, and needs no health check. A sign of a restart is refuted in the same way, but only by a
 * request that began after it, as earlier answers may be read late.
 */
export class ColdState {
  #coldUntilMs = -Infinity;
  #coldSource: ColdSource | undefined;
  #doubt: DoubtReason | undefined = "daemon_started";
  /** Time of the last sign, and of the first one since the upstream was known. */
  #doubtedAtMs = -Infinity;
  #doubtedSinceMs = -Infinity;
  #provenAtMs = -Infinity;
  /** Connections opened until then belong to the process that was last proven. */
  #knownOpenedUntilMs = -Infinity;
  /** Last time at which the upstream was shown to be another process than one that is cold now. */
  #warmUntilMs = -Infinity;

  get doubt(): DoubtReason | undefined {
    return this.#doubt;
  }

  get coldUntilMs(): number {
    return this.#coldUntilMs;
  }

  get coldSource(): ColdSource | undefined {
    return this.#coldSource;
  }

  warmth(nowMs: number): Warmth {
    if (this.#doubt !== undefined) return "doubted";
    if (nowMs < this.#coldUntilMs) return "cold";
    return nowMs - this.#provenAtMs <= PROOF_MAX_AGE_MS ? "warm" : "unproven";
  }

  /** The limit on requests now; undefined for none. */
  limitAt(nowMs: number, limits: ColdLimits): PaceLimit | undefined {
    const { coldPerSecond, unprovenPerSecond } = limits;
    const countFromMs = this.#warmUntilMs;
    const byWarmth: Readonly<Record<Warmth, () => PaceLimit | undefined>> = {
      warm: () => undefined,
      unproven: () => ({ requestsPerSecond: unprovenPerSecond, countFromMs }),
      doubted: () => ({
        requestsPerSecond: coldPerSecond,
        countFromMs,
        untilMs: this.#isDoubtFresh(nowMs)
          ? this.#doubtedSinceMs + DOUBT_HOLD_MS
          : undefined,
      }),
      cold: () => ({
        requestsPerSecond: coldPerSecond,
        untilMs: this.#coldUntilMs,
        countFromMs,
      }),
    };
    return byWarmth[this.warmth(nowMs)]();
  }

  /** Records a sign that the upstream may have restarted or become cold. */
  recordDoubt(reason: DoubtReason, nowMs: number): void {
    if (this.#doubt === undefined) this.#doubtedSinceMs = nowMs;
    this.#doubt = strongerDoubt(reason, this.#doubt);
    this.#doubtedAtMs = nowMs;
    this.#provenAtMs = -Infinity;
    this.#knownOpenedUntilMs = Math.min(this.#knownOpenedUntilMs, nowMs);
    if (LEAST_REFUTATION[reason] === "health_answer") {
      this.#warmUntilMs = -Infinity;
    }
  }

  /**
   * Records that a request which was in flight when a connection was cut is still in flight now, on a connection that
   * was opened at this time. Returns whether the doubt is refuted.
   */
  recordSurvivor(
    { openedAtMs, begunAtMs, nowMs }: ColdEvidence,
  ): boolean {
    const isRefuted = this.#doubt === "connection_cut" &&
      begunAtMs <= this.#doubtedAtMs &&
      openedAtMs <= this.#knownOpenedUntilMs &&
      nowMs - this.#doubtedAtMs >= SURVIVAL_MS &&
      this.#doubtedAtMs - this.#warmUntilMs <= SURVIVAL_PROOF_AGE_MS;
    if (isRefuted) this.#recordProof(this.#doubtedAtMs);
    return isRefuted;
  }

  /** Records that the upstream's entry says that it is cold from now on; a health check is needed to know it exactly. */
  recordColdEntry(coldForMs: number, nowMs: number): void {
    if (nowMs + coldForMs <= this.#coldUntilMs) return;
    // It may have become cold at any time since the entry was read last.
    if (nowMs >= this.#coldUntilMs) this.#warmUntilMs = -Infinity;
    this.#coldUntilMs = nowMs + coldForMs;
    this.#coldSource = "entry";
  }

  /** Records a health answer; one to a check that began before the last doubt does not refute it. */
  recordHealth({ coldForMs, askedAtMs, nowMs }: ColdHealth): void {
    if (coldForMs === undefined) return;
    const isOutdated = askedAtMs < this.#doubtedAtMs;
    if (isOutdated && coldForMs <= 0) return;
    this.#coldUntilMs = nowMs + coldForMs;
    this.#coldSource = coldForMs > 0 ? "health_check" : undefined;
    if (isOutdated) return;
    this.#recordProof(nowMs);
  }

  /** Records an answer to a request; `coldDurationMs` is the time for which an upstream is cold after its start. */
  recordAnswer(
    { openedAtMs, begunAtMs, nowMs }: ColdEvidence,
    coldDurationMs: number,
  ): void {
    if (begunAtMs <= this.#doubtedAtMs) return;
    const isKnown = openedAtMs <= this.#knownOpenedUntilMs;
    const isOld = nowMs - openedAtMs >= coldDurationMs;
    if (!isKnown && !isOld) return;
    const isRefuted = this.#doubt === undefined ||
      LEAST_REFUTATION[this.#doubt] !== "health_answer" ||
      nowMs - this.#doubtedAtMs >= coldDurationMs;
    if (isRefuted) this.#recordProof(nowMs);
  }

  #isDoubtFresh(nowMs: number): boolean {
    return nowMs < this.#doubtedSinceMs + DOUBT_HOLD_MS;
  }

  /** Records that the upstream is the process that it was when its state was learnt. */
  #recordProof(provenAtMs: number): void {
    this.#doubt = undefined;
    this.#doubtedAtMs = -Infinity;
    this.#provenAtMs = provenAtMs;
    this.#knownOpenedUntilMs = provenAtMs + PROOF_GRACE_MS;
    if (provenAtMs >= this.#coldUntilMs) this.#warmUntilMs = provenAtMs;
  }
}

/** The one of two doubts that is harder to refute. */
function strongerDoubt(
  reason: DoubtReason,
  held: DoubtReason | undefined,
): DoubtReason {
  const strength = (doubt: DoubtReason) =>
    REFUTATIONS.indexOf(LEAST_REFUTATION[doubt]);
  return held === undefined || strength(reason) >= strength(held)
    ? reason
    : held;
}
