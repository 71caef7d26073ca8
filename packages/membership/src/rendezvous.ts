import { createHash } from "node:crypto";

/** Orders VM ids of a zone by rendezvous hash. Every daemon with the same VMs gets the same order. */
export function rankByRendezvous(
  zone: string,
  vmIds: readonly string[],
): readonly string[] {
  const scored = vmIds.map((id) => ({ id, score: scoreOf(zone, id) }));
  scored.sort((a, b) => Buffer.compare(a.score, b.score));
  return scored.map(({ id }) => id);
}

function scoreOf(zone: string, id: string): Buffer {
  return createHash("sha256").update(`${zone}\n${id}`).digest();
}
