import { setTimeout as sleep } from "node:timers/promises";
import type { Catalog } from "./catalog.ts";
import type { EvacuationState } from "./evacuations.ts";
import { isSameChain, type ReaderChain } from "./reader_chain.ts";
import type { CatalogChange, CatalogUpdate } from "./source_port.ts";

/** Long poll of a follower to the daemon that it follows. */
export interface FeedRequest {
  /** The follower, as other daemons name it; an earlier version does not tell. */
  readonly follower?: string;
  /** Readers of the followed daemon as told by its last response, if it told them. */
  readonly readers?: ReaderChain;
  readonly version: number;
  /** Id of the feed that `position` belongs to; each run of the followed daemon has its own. */
  readonly feedId: string;
  readonly position: number;
  /** Number of the confirmation in the last response; absent before the first one, and in earlier versions. */
  readonly confirmation?: number;
  /** Timeout after which the response is sent even without a change. */
  readonly waitMs: number;
}

/** Response of the followed daemon. */
export interface FeedResponse {
  readonly feedId: string;
  readonly position: number;
  /**
   * Whether the followed daemon has a catalog and contact to the platform, does not get its changes from the follower,
   * and is not stopping. If not, the follower does not follow it for a few seconds.
   */
  readonly isInContact: boolean;
  /** Readers of the followed daemon; an earlier version does not tell. */
  readonly readers?: ReaderChain;
  /** All upstreams; set instead of `changes` if the position is unknown or too old. */
  readonly whole: CatalogUpdate | undefined;
  readonly changes: readonly CatalogChange[];
  /** All evacuations, if one of them has changed since the position; those of a whole are part of it. */
  readonly evacuations?: EvacuationState;
  readonly revision: number;
  /** Version in force. A follower that holds an older one fetches the configuration separately. */
  readonly version: number;
  /**
   * Time from the platform's last confirmation of this version until the long poll arrived; negative if it came during
   * the wait. An earlier version does not tell.
   */
  readonly confirmedBeforeMs?: number;
  /** Number of that confirmation, within this run of the followed daemon. */
  readonly confirmation?: number;
}

/** Options of `answerFeedRequest`. */
export interface AnswerFeedOptions {
  readonly catalog: Catalog;
  readonly feedId: string;
  readonly request: FeedRequest;
  readonly isInContact: () => boolean;
  /** Readers of this daemon. */
  readonly readers: () => ReaderChain;
  /** Time since the platform last confirmed the version in force here; infinite before the first time. */
  readonly confirmedAgeMs: () => number;
  /** Number of confirmations that followers were told of; a follower that has missed one is told at once. */
  readonly confirmation: () => number;
}

/**
 * Time during which changes are batched into one response. A response costs about
 * 1 ms, so sending ten changes a second one by one to 27 followers would use all
 * of the quarter of a core that the followed daemon has. The batching uses a
 * twentieth of the 2 s within which a change must be in force.
 */
const BATCH_WINDOW_MS = 100;

/**
 * Responds to a follower's long poll. A follower that is behind gets the response at once. Any other follower gets it
 * `BATCH_WINDOW_MS` after the next change, at once after the next confirmation, or at the timeout. Loss of contact to the
 * platform and a change of the readers are reported at once. Daemons that follow each other in a circle therefore learn it within a round of responses,
 * although each of them answers the next one.
 */
export async function answerFeedRequest(
  options: AnswerFeedOptions,
): Promise<FeedResponse> {
  const { catalog, feedId, request, readers, confirmation } = options;
  const receivedAtMs = performance.now();
  const isUpToDate = () =>
    request.feedId === feedId && request.position === catalog.position &&
    request.version >= catalog.version;
  const knowsReaders = () =>
    request.readers === undefined || isSameChain(request.readers, readers());
  const isInContact = () =>
    options.isInContact() &&
    (request.follower === undefined || !readers().includes(request.follower));
  const knowsConfirmation = () =>
    request.confirmation === undefined ||
    request.confirmation === confirmation();
  const hasNothingToTell = isUpToDate() && knowsReaders() && isInContact() &&
    knowsConfirmation();
  if (hasNothingToTell) {
    await catalog.whenChanged(request.waitMs);
    if (!isUpToDate() && isInContact()) await sleep(BATCH_WINDOW_MS);
  }
  const loggedChanges = request.feedId === feedId
    ? catalog.changesSince(request.position)
    : undefined;
  const changes = loggedChanges?.changes ?? [];
  const upstreamChanges = changes.filter(({ kind }) => kind !== "evacuation");
  const heldMs = performance.now() - receivedAtMs;
  const confirmedBeforeMs = options.confirmedAgeMs() - heldMs;
  return {
    feedId,
    position: catalog.position,
    isInContact: isInContact(),
    readers: readers(),
    whole: loggedChanges === undefined ? catalog.snapshot() : undefined,
    changes: upstreamChanges,
    ...(upstreamChanges.length < changes.length &&
      { evacuations: catalog.evacuations }),
    revision: catalog.revision,
    version: catalog.version,
    ...(Number.isFinite(confirmedBeforeMs) &&
      { confirmedBeforeMs, confirmation: confirmation() }),
  };
}
