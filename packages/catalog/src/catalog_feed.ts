import { setTimeout as sleep } from "node:timers/promises";
import type { Catalog } from "./catalog.ts";
import {
  type ConfigurationDelta,
  diffConfigurations,
} from "./configuration_delta.ts";
import type { CatalogChange, CatalogUpdate } from "./source_port.ts";

/** What a following daemon asks the daemon that it follows. */
export interface FeedRequest {
  readonly version: number;
  /** Life of the other daemon that `position` belongs to. */
  readonly feedId: string;
  readonly position: number;
  /** Time after which the answer comes even without a change. */
  readonly waitMs: number;
}

/** What the daemon that is followed answers. */
export interface FeedResponse {
  readonly feedId: string;
  readonly position: number;
  /** Whether the answering daemon has contact to the platform. */
  readonly isInContact: boolean;
  /** All upstreams; set in place of `changes` if the position is not known. */
  readonly whole: CatalogUpdate | undefined;
  readonly changes: readonly CatalogChange[];
  readonly revision: number;
  readonly delta: ConfigurationDelta | undefined;
  readonly configurationRevision: number;
  /** Version in force; without a delta, a follower that is behind reads it from the platform. */
  readonly version: number;
}

/** Options of `answerFeed`. */
export interface AnswerFeedOptions {
  readonly catalog: Catalog;
  readonly feedId: string;
  readonly request: FeedRequest;
  readonly isInContact: () => boolean;
}

/**
 * Time in which changes are gathered into one answer. At about 1 ms an answer,
 * ten changes a second to 27 followers one by one would take the whole of a
 * reader's quarter of a core. A twentieth of the 2 s in which a change must be
 * in force.
 */
const GATHER_MS = 100;

/**
 * Routes in one answer. More would fill the link of a small VM when all
 * followers ask at once; they read the platform instead.
 */
const MAX_DELTA_ROUTES = 40;

/** Answers a follower once there is something new, or after the wait. */
export async function answerFeedRequest(
  options: AnswerFeedOptions,
): Promise<FeedResponse> {
  const { catalog, feedId, request: question, isInContact } = options;
  const isCurrent = () =>
    question.feedId === feedId && question.position === catalog.position &&
    question.version >= catalog.version;
  if (isCurrent() && isInContact()) {
    await catalog.whenChanged(question.waitMs);
    if (!isCurrent() && isInContact()) await sleep(GATHER_MS);
  }
  const logged = question.feedId === feedId
    ? catalog.changesSince(question.position)
    : undefined;
  return {
    feedId,
    position: catalog.position,
    isInContact: isInContact(),
    whole: logged === undefined
      ? catalog.snapshot(Number.MAX_SAFE_INTEGER)
      : undefined,
    changes: logged?.changes ?? [],
    revision: catalog.revision,
    delta: deltaFor(catalog, question.version),
    configurationRevision: catalog.configurationRevision,
    version: catalog.version,
  };
}

function deltaFor(
  catalog: Catalog,
  version: number,
): ConfigurationDelta | undefined {
  const to = catalog.index?.configuration;
  const from = catalog.keptVersion(version);
  if (to === undefined || from === undefined || to.version <= version) {
    return undefined;
  }
  const delta = diffConfigurations({ from, to });
  return delta.changed.length > MAX_DELTA_ROUTES ? undefined : delta;
}
