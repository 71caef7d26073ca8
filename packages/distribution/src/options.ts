/** What the intervals and the fan-out favour. */
export type Weight = "convergence" | "balanced" | "bytes";

/** Tunable figures of the distribution; times in milliseconds. */
export interface DistributionTuning {
  /** Daemons of the own zone that a new version is pushed to. */
  readonly fanOut: number;
  /** Daemons in different other zones that a daemon that watches pushes to. */
  readonly zoneLinks: number;
  /** 0 turns digest exchanges off. */
  readonly digestIntervalMs: number;
  /** Every n-th digest exchange is with another zone. */
  readonly remoteDigestEvery: number;
  /** Age of the youngest confirmation from which on the readers count as lost. */
  readonly staleAfterMs: number;
  /** Calls that the platform answers each second, for all daemons together. */
  readonly readsPerSecond: number;
  /** Time that the platform holds a watch without a change. */
  readonly watchWaitMs: number;
  /** A reader waits this long for a push, times its rank plus its zone's position, before it reads. */
  readonly readStaggerMs: number;
  /** Lateness of a timer that counts as a pause. */
  readonly pauseThresholdMs: number;
  /** Time that requests wait at most after a pause. */
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

/** Fills in the defaults; figures given override those of the weight, undefined ones do not. */
export function completeTuning(
  given: Partial<DistributionTuning> = {},
  weight: Weight = "balanced",
): DistributionTuning {
  return {
    ...TUNING_BY_WEIGHT[weight],
    remoteDigestEvery: 4,
    staleAfterMs: 3_000,
    readsPerSecond: 2_000,
    watchWaitMs: 1_500,
    readStaggerMs: 100,
    pauseThresholdMs: 1_000,
    pauseGateMs: 500,
    joinTimeoutMs: 3_000,
    // A receiver gets several copies of a push; a fetch happens once.
    maxPushedDeltaBytes: 16 * 1024,
    ...withoutUndefined(given),
  };
}

function withoutUndefined(
  given: Partial<DistributionTuning>,
): Partial<DistributionTuning> {
  const entries = Object.entries(given);
  return Object.fromEntries(
    entries.filter(([, value]) => value !== undefined),
  );
}
