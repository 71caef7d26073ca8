/**
 * The daemons over which the platform's changes reach a daemon, the one that it follows first. Empty if it reads the
 * platform itself.
 */
export type ReaderChain = readonly string[];

/** Whether two chains name the same daemons in the same order. */
export function isSameChain(a: ReaderChain, b: ReaderChain): boolean {
  return a.length === b.length && a.every((reader, i) => reader === b[i]);
}
