/** Revisions of one era; a store with a thousand changes a second needs 34 years for as many. */
const REVISIONS_PER_ERA = 2 ** 40;

/** Highest era whose revisions are exact numbers. */
export const MAX_ERA = 2 ** 13 - 1;

/**
 * The place of a revision among those of all eras of the platform's store. An era begins when the store comes back from
 * an older copy of itself; it then gives out revisions again, which are later than all of the eras before. Everywhere in
 * the product a revision is this number, which is the store's own one in era 0.
 */
export function revisionInEra(era: number, storeRevision: number): number {
  return era * REVISIONS_PER_ERA + storeRevision;
}

/** The era of a revision. */
export function eraOf(revision: number): number {
  return Math.floor(revision / REVISIONS_PER_ERA);
}

/** The number that the store itself gives a revision. */
export function storeRevisionOf(revision: number): number {
  return revision % REVISIONS_PER_ERA;
}
