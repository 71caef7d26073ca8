/** A repeatable source of random numbers in [0, 1). */
export type Random = () => number;

/** Creates a random source from a seed (mulberry32). */
export function seededRandom(seed: number): Random {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = state;
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}

/** A distribution of durations. */
export interface DurationDistribution {
  readonly shape: "fixed" | "uniform" | "exponential";
  /** `uniform` spreads from 0 to twice the mean. */
  readonly meanMs: number;
}

const SAMPLERS: Readonly<
  Record<
    DurationDistribution["shape"],
    (meanMs: number, random: Random) => number
  >
> = {
  fixed: (meanMs) => meanMs,
  uniform: (meanMs, random) => 2 * meanMs * random(),
  exponential: (meanMs, random) => -meanMs * Math.log(1 - random()),
};

/** Draws one duration in milliseconds. */
export function sampleMs(
  { shape, meanMs }: DurationDistribution,
  random: Random,
): number {
  return SAMPLERS[shape](meanMs, random);
}

/** Picks one item of a non-empty list. */
export function pickOne<T>(items: readonly T[], random: Random): T {
  if (items.length === 0) throw new Error("Cannot pick from an empty list");
  return items[Math.floor(random() * items.length)]!;
}
