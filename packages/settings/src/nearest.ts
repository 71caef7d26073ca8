/** Smallest number of single-character edits that turn one word into the other (Levenshtein distance). */
export function editDistance(from: string, to: string): number {
  let row = Array.from({ length: to.length + 1 }, (_, column) => column);
  for (let i = 1; i <= from.length; i++) {
    const next = [i];
    for (let j = 1; j <= to.length; j++) {
      const replaced = row[j - 1]! + (from[i - 1] === to[j - 1] ? 0 : 1);
      next.push(Math.min(replaced, row[j]! + 1, next[j - 1]! + 1));
    }
    row = next;
  }
  return row[to.length]!;
}

/** Returns the candidate with the lowest distance; of several such, the first. */
export function nearest<T>(
  candidates: readonly T[],
  distanceOf: (candidate: T) => number,
): T | undefined {
  let best: T | undefined;
  let bestDistance = Infinity;
  for (const candidate of candidates) {
    const distance = distanceOf(candidate);
    if (distance >= bestDistance) continue;
    best = candidate;
    bestDistance = distance;
  }
  return best;
}
