import { createHash } from "node:crypto";

/** Orders ids by their rendezvous hash for a key, so that every daemon with the same ids gets the same order. */
export function rankByRendezvous(
  key: string,
  ids: readonly string[],
): readonly string[] {
  const scored = ids.map((id) => ({ id, score: scoreOf(key, id) }));
  scored.sort((a, b) => Buffer.compare(a.score, b.score));
  return scored.map(({ id }) => id);
}

function scoreOf(key: string, id: string): Buffer {
  return createHash("sha256").update(`${key}\n${id}`).digest();
}
