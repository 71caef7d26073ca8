/** What the intervals and the fan-out favour. */
export type Weight = "convergence" | "balanced" | "bytes";

/** Tunable figures of the distribution; times in milliseconds. */
export interface DistributionTuning {
  /** Daemons of the own zone that a new version is pushed to. */
  readonly fanOut: number;
  /** Daemons in different other zones that a daemon that watches pushes to. */
  readonly zoneLinks: number;
  readonly digestIntervalMs: number;
  /** Every n-th digest exchange is with another zone. */
  readonly remoteDigestEvery: number;
  /** Age of the youngest confirmation from which on the readers count as lost. */
  readonly staleAfterMs: number;
  /** Calls that the platform answers each second, for all daemons together. */
  readonly readsPerSecond: number;
  /** Time that the platform holds a watch without a change. */
  readonly watchWaitMs: number;
  readonly joinTimeoutMs: number;
  /** Larger deltas are announced and fetched instead of pushed. */
  readonly maxPushedDeltaBytes: number;
}

const TUNING_BY_WEIGHT: Readonly<
  Record<Weight, Pick<DistributionTuning, "fanOut" | "digestIntervalMs">>
> = {
  convergence: { fanOut: 4, digestIntervalMs: 500 },
  balanced: { fanOut: 3, digestIntervalMs: 1_000 },
  bytes: { fanOut: 2, digestIntervalMs: 2_000 },
};

/** Fills in the defaults; figures given override those of the weight. */
export function completeTuning(
  given: Partial<DistributionTuning> = {},
  weight: Weight = "balanced",
): DistributionTuning {
  return {
    ...TUNING_BY_WEIGHT[weight],
    zoneLinks: 2,
    remoteDigestEvery: 5,
    staleAfterMs: 3_000,
    readsPerSecond: 2_000,
    watchWaitMs: 1_500,
    joinTimeoutMs: 3_000,
    // A receiver gets several copies of a push; a fetch happens once.
    maxPushedDeltaBytes: 16 * 1024,
    ...given,
  };
}
