/** What the defaults of the digest interval and the fan-out favour. */
export type Weight = "convergence" | "balanced" | "bytes";

/** Tunable parameters of the distribution; times in milliseconds. */
export interface DistributionTuning {
  /** Number of daemons in its own zone that a daemon pushes a new version to. */
  readonly fanOut: number;
  /** Number of other zones in which a daemon that watches the platform pushes to one daemon each. */
  readonly zoneLinks: number;
  /** 0 disables digest exchanges. */
  readonly digestIntervalMs: number;
  /** Every n-th digest exchange is with another zone. */
  readonly remoteDigestEvery: number;
  /** Age of the youngest confirmation at which the readers count as lost. */
  readonly staleAfterMs: number;
  /** Calls per second that the platform can answer, for all daemons together. */
  readonly readsPerSecond: number;
  /** Time for which the platform holds a long poll without a change. */
  readonly watchWaitMs: number;
  /** Before a reader reads, it waits for a push: this time multiplied by the sum of rank and zone position. */
  readonly readStaggerMs: number;
  /** Lateness of a timer that counts as a pause. */
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
    // A daemon receives several copies of a push but fetches a version only once.
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
