/** Options of `chooseReader`. */
export interface ChooseReaderOptions {
  /** Daemons that rank above this one, the first one first. */
  readonly higherRanked: readonly string[];
  /** Whether a daemon did not answer lately, or has no contact to the platform. */
  readonly isAvoided: (reader: string) => boolean;
}

/**
 * Number of daemons that follow the same reader. A version is sent to each of
 * them over the reader's link, so the number bounds the time until the last one
 * has it; the depth of the tree grows with the logarithm of the zone's size only.
 */
const FOLLOWERS_PER_READER = 4;

/**
 * Chooses the daemon to follow; undefined to read the platform. The daemons of a
 * zone form a tree in the order of their rank, with the first one at its root.
 * If the parent is avoided, its ancestors come next, then the other daemons that
 * rank higher. A reader always ranks higher than its followers, so no daemons
 * follow each other in a circle.
 */
export function chooseReader(
  { higherRanked, isAvoided }: ChooseReaderOptions,
): string | undefined {
  let rank = higherRanked.length;
  while (rank > 0) {
    rank = Math.floor((rank - 1) / FOLLOWERS_PER_READER);
    const ancestor = higherRanked[rank]!;
    if (!isAvoided(ancestor)) return ancestor;
  }
  return higherRanked.find((reader) => !isAvoided(reader));
}
