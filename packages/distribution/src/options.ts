/** Which defaults apply to fan-out, zone links and digest interval: fast convergence, few bytes or a balance. */
export type Weight = "convergence" | "balanced" | "bytes";

/** Tunable parameters of the distribution; times in milliseconds. */
export interface DistributionTuning {
  /** A daemon pushes a new version or its leaving notice to at most this many daemons of its zone. */
  readonly fanOut: number;
  /**
   * A daemon sends its leaving notice to at most this many other zones, to one daemon in each. A daemon that
   * watches the platform pushes each new version to at most this many other zones, to one daemon in each.
   */
  readonly zoneLinks: number;
  /**
   * Mean interval of the regular digest exchanges. 0 disables them and the extra exchange after each new
   * version. Joining, a pause and a loss of the readers still cause exchanges.
   */
  readonly digestIntervalMs: number;
  /**
   * Every n-th regular digest exchange is with a daemon of another zone; this is n. It counts as at most 2 while the
   * newest confirmation by the platform that this daemon knows of, its own or another's, is older than `staleAfterMs`.
   */
  readonly remoteDigestEvery: number;
  /**
   * A daemon counts its zone's readers as lost when the newest confirmation by the platform that it knows of, its
   * own or another's, is older than this. The first daemon in rank after the readers then reads the platform.
   */
  readonly staleAfterMs: number;
  /** Calls per second that the platform can answer, for all daemons together. */
  readonly readsPerSecond: number;
  /** Time for which the platform holds a long poll without a change. */
  readonly watchWaitMs: number;
  /**
   * Before a daemon reads a new version from the platform, it waits, so that a peer can push the version first. The
   * wait is this time multiplied by the sum of the daemon's rank and `Membership.zonePosition`, at most 500 ms.
   */
  readonly readStaggerMs: number;
  /** The process counts as paused when the timer of `PauseGate` is late by more than this. */
  readonly pauseThresholdMs: number;
  /** Longest time for which requests wait after a pause. */
  readonly pauseGateMs: number;
  readonly joinTimeoutMs: number;
  /** Larger deltas are announced and fetched instead of pushed. */
  readonly maxPushedDeltaBytes: number;
}

const TUNING_BY_WEIGHT: Readonly<
  Record<
    Weight,
    Pick<DistributionTuning, "fanOut" | "zoneLinks" | "digestIntervalMs">
  >
> = {
  convergence: { fanOut: 4, zoneLinks: 3, digestIntervalMs: 500 },
  balanced: { fanOut: 3, zoneLinks: 2, digestIntervalMs: 1_000 },
  bytes: { fanOut: 2, zoneLinks: 1, digestIntervalMs: 2_000 },
};

/** Fills in the defaults, those of the weight included; overrides that are undefined are ignored. */
export function resolveTuning(
  overrides: Partial<DistributionTuning> = {},
  weight: Weight = "balanced",
): DistributionTuning {
  return {
    ...TUNING_BY_WEIGHT[weight],
    remoteDigestEvery: 4,
    staleAfterMs: 2_000,
    readsPerSecond: 2_000,
    watchWaitMs: 1_500,
    readStaggerMs: 100,
    pauseThresholdMs: 1_000,
    pauseGateMs: 500,
    joinTimeoutMs: 3_000,
    // A daemon receives several copies of a pushed delta, but usually fetches a version only once.
    maxPushedDeltaBytes: 16 * 1024,
    ...withoutUndefined(overrides),
  };
}

function withoutUndefined(
  overrides: Partial<DistributionTuning>,
): Partial<DistributionTuning> {
  const entries = Object.entries(overrides);
  return Object.fromEntries(
    entries.filter(([, value]) => value !== undefined),
  );
}
