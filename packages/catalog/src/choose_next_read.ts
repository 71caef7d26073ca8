/**
 * A read of the platform: `watch` delivers each write since a revision, `full_read` everything, and `catch_up_read` all
 * upstreams, and the configuration unless it is known already.
 */
export type PlatformRead = "watch" | "full_read" | "catch_up_read";

/** What a read of the platform delivered, and how fast. */
export interface FinishedRead {
  /** Whether it delivered a newer version of the configuration than all reads before it. */
  readonly hasNewerVersion: boolean;
  /** Time during which the bodies of its responses arrived; waiting for a change is no part of it. */
  readonly transferMs: number;
}

/** Options of `chooseNextRead`. */
export interface ChooseNextReadOptions {
  /** Whether a watch would miss changes, for example because the platform has dropped its history. */
  readonly needsFullRead: boolean;
  /** The read before; undefined if there is none, or if it failed. */
  readonly lastRead: FinishedRead | undefined;
}

/** Transfer time of a version from which on later ones may have been written meanwhile. */
const SLOW_TRANSFER_MS = 250;

/**
 * Chooses the next read of the platform. A watch transfers all versions written since its revision, although only the
 * newest one matters. So a slow transfer of a newer version is followed by a read of the newest version only, until such
 * a read delivers none or is fast.
 */
export function chooseNextRead(
  { needsFullRead, lastRead }: ChooseNextReadOptions,
): PlatformRead {
  if (needsFullRead) return "full_read";
  const isBehind = lastRead !== undefined && lastRead.hasNewerVersion &&
    lastRead.transferMs >= SLOW_TRANSFER_MS;
  return isBehind ? "catch_up_read" : "watch";
}
