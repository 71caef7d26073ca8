/** Options of `drawCompared`. */
export interface DrawComparedOptions {
  readonly isOwnZone: (index: number) => boolean;
  /** Whether an upstream is avoided for now because attempts to reach it failed. */
  readonly isEjected: (index: number) => boolean;
  /** Whether an upstream has just refused the request because it was full, so that its load is known exactly. */
  readonly isKnownFull: (index: number) => boolean;
  /** Returns a number from 0 (included) to 1 (excluded). */
  readonly random: () => number;
}

/** Number of upstreams that are drawn from the own zone, and from the other zones together. */
const DRAWN_COUNT = 4;

/**
 * Draws the upstreams that are compared for one request, out of `count`; returns
 * their indices. Those that are known to be full are always compared, since one of
 * them may have the shortest wait. Ejected ones are drawn only if no other is left.
 *
 * Answers the load of a large fleet: if all daemons compared all upstreams, they
 * would send their requests to the same few until these report that they are full.
 */
export function drawCompared(
  count: number,
  options: DrawComparedOptions,
): readonly number[] {
  const full: number[] = [];
  const ownZone: number[] = [];
  const otherZones: number[] = [];
  const ejected: number[] = [];
  for (let index = 0; index < count; index += 1) {
    if (options.isEjected(index)) ejected.push(index);
    else if (options.isKnownFull(index)) full.push(index);
    else if (options.isOwnZone(index)) ownZone.push(index);
    else otherZones.push(index);
  }
  const compared = [
    ...full,
    ...draw(ownZone, options.random),
    ...draw(otherZones, options.random),
  ];
  return compared.length === 0 ? draw(ejected, options.random) : compared;
}

/** Draws `DRAWN_COUNT` items at random, or all if there are not more; reorders `items`. */
function draw(items: number[], random: () => number): readonly number[] {
  if (items.length <= DRAWN_COUNT) return items;
  for (let i = 0; i < DRAWN_COUNT; i += 1) {
    const j = i + Math.floor(random() * (items.length - i));
    [items[i], items[j]] = [items[j]!, items[i]!];
  }
  return items.slice(0, DRAWN_COUNT);
}
