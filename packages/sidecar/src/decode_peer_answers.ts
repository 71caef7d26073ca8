import { Result } from "true-myth";
import type {
  CatalogChange,
  CatalogUpdate,
  ConfigurationUpdate,
  FeedResponse,
  UpstreamsSnapshot,
} from "@tanagercove/catalog";
import type { KnownLink, LinkTable } from "./zone_links.ts";

/** A decoded answer of another daemon, or what is wrong with it. */
export type PeerAnswerResult<T> = Result<T, string>;

type Fields = Readonly<Record<string, unknown>>;

/**
 * Decodes the upstreams of another daemon. Checks the fields without which applying the update or routing a request
 * would throw; the daemon may run another version of this program.
 */
export function decodeUpstreamsSnapshot(
  body: Buffer,
): PeerAnswerResult<UpstreamsSnapshot> {
  return decodeJson(body).andThen((value) =>
    isUpstreamsSnapshot(value)
      ? Result.ok({ ...value, changes: withReadableStarts(value.changes) })
      : Result.err("The answer is not a list of upstreams")
  );
}

/** Decodes the configuration of another daemon, with the same checks as `decodeUpstreamsSnapshot`. */
export function decodeConfigurationUpdate(
  body: Buffer,
): PeerAnswerResult<ConfigurationUpdate> {
  return decodeJson(body).andThen((value) =>
    isConfigurationUpdate(value)
      ? Result.ok(value)
      : Result.err("The answer is not a configuration")
  );
}

/** Decodes the answer to a follower's long poll, with the same checks as `decodeUpstreamsSnapshot`. */
export function decodeFeedResponse(
  body: Buffer,
): PeerAnswerResult<FeedResponse> {
  return decodeJson(body).andThen((value) =>
    isFeedResponse(value)
      ? Result.ok(withReadableFeed(value))
      : Result.err("The answer is not a feed response")
  );
}

/** Decodes the links that another daemon knows; one of an earlier version tells only their bandwidths. */
export function decodeLinkTable(body: Buffer): PeerAnswerResult<LinkTable> {
  return decodeJson(body).andThen((value) => {
    if (!isObject(value) || !Object.values(value).every(isLink)) {
      return Result.err("The answer is not a table of links");
    }
    const links = Object.entries(value as Record<string, number | KnownLink>)
      .map(([address, link]) => [
        address,
        typeof link === "number" ? { linkMbps: link } : link,
      ]);
    return Result.ok(Object.fromEntries(links) as LinkTable);
  });
}

function withReadableFeed(feed: FeedResponse): FeedResponse {
  const { changes, whole } = feed;
  return {
    ...feed,
    changes: withReadableStarts(changes),
    ...(whole && {
      whole: { ...whole, changes: withReadableStarts(whole.changes) },
    }),
  };
}

/** Daemons of earlier versions pass on entries that do not tell their start, which are another writer's. */
function withReadableStarts(
  changes: readonly CatalogChange[],
): readonly CatalogChange[] {
  return changes.map((change) => {
    if (change.kind !== "upstream" || isNumber(change.entry.bornMs)) {
      return change;
    }
    const { revision, entry: { id } } = change;
    const problem = "Expected the start to be a number";
    return { kind: "unreadable", revision, key: id, upstreamId: id, problem };
  });
}

function isLink(value: unknown): boolean {
  return isNumber(value) ||
    isObject(value) && isNumber(value.linkMbps) &&
      (value.toldMsAgo === undefined || isNumber(value.toldMsAgo));
}

function decodeJson(body: Buffer): Result<unknown, string> {
  try {
    return Result.ok(JSON.parse(body.toString()) as unknown);
  } catch (error) {
    return Result.err(`The answer is not JSON: ${(error as Error).message}`);
  }
}

function isUpstreamsSnapshot(value: unknown): value is UpstreamsSnapshot {
  return isCatalogUpdate(value) && isObject(value) &&
    isNumber(value.version) &&
    (value.hasEvacuationsOnly === undefined ||
      typeof value.hasEvacuationsOnly === "boolean");
}

function isConfigurationUpdate(value: unknown): value is ConfigurationUpdate {
  if (!isObject(value) || !isNumber(value.revision)) return false;
  return value.kind === "whole"
    ? isConfiguration(value.configuration)
    : value.kind === "delta" && isDelta(value.delta);
}

function isCatalogUpdate(value: unknown): value is CatalogUpdate {
  return isObject(value) && isNumber(value.revision) &&
    (value.upstreamRevision === undefined ||
      isNumber(value.upstreamRevision)) &&
    isOptionalEvacuationState(value.evacuations) &&
    isListOf(value.changes, isChange);
}

function isOptionalEvacuationState(value: unknown): boolean {
  return value === undefined ||
    isObject(value) && isNumber(value.revision) &&
      isNumber(value.changeRevision) &&
      isListOf(value.zones, isZoneEvacuation);
}

function isZoneEvacuation(value: unknown): boolean {
  return isObject(value) && isText(value.zone) && isNumber(value.revision) &&
    typeof value.isEvacuated === "boolean";
}

function isFeedResponse(value: unknown): value is FeedResponse {
  return isObject(value) && typeof value.feedId === "string" &&
    typeof value.isInContact === "boolean" &&
    [value.position, value.revision, value.version].every(isNumber) &&
    isListOf(value.changes, isChange) &&
    (value.readers === undefined || isListOf(value.readers, isText)) &&
    [value.confirmedBeforeMs, value.confirmation].every((field) =>
      field === undefined || isNumber(field)
    ) &&
    isOptionalEvacuationState(value.evacuations) &&
    (value.whole === undefined || isCatalogUpdate(value.whole));
}

const CHANGE_CHECKS: ReadonlyMap<string, (change: Fields) => boolean> = new Map<
  CatalogChange["kind"],
  (change: Fields) => boolean
>([
  ["configuration", ({ configuration }) => isConfiguration(configuration)],
  ["upstream", ({ entry }) => isUpstreamEntry(entry)],
  ["upstream_removed", ({ id }) => typeof id === "string"],
  ["unreadable", ({ key }) => typeof key === "string"],
]);

function isChange(value: unknown): boolean {
  return isObject(value) && isNumber(value.revision) &&
    typeof value.kind === "string" &&
    (CHANGE_CHECKS.get(value.kind)?.(value) ?? false);
}

function isUpstreamEntry(value: unknown): boolean {
  return isObject(value) &&
    [value.id, value.service, value.address, value.zone].every(isText) &&
    [value.port, value.slots, value.coldMs].every(isNumber);
}

function isConfiguration(value: unknown): boolean {
  return isObject(value) && isNumber(value.version) &&
    isListOf(value.routes, isRoute) && isListOf(value.services, isObject) &&
    isLimits(value.limits);
}

function isDelta(value: unknown): boolean {
  return isObject(value) && isNumber(value.version) &&
    isNumber(value.fromVersion) && isListOf(value.changed, isRoute) &&
    isListOf(value.removed, isText) && isListOf(value.services, isObject) &&
    isLimits(value.limits);
}

/** Node refuses a timeout of a connection that is no number, which would end the process. */
function isLimits(value: unknown): boolean {
  return isObject(value) &&
    [
      value.maxHeaderBytes,
      value.maxBodyBytes,
      value.headerTimeoutMs,
      value.idleTimeoutMs,
    ].every(isNumber);
}

function isRoute(value: unknown): boolean {
  return isObject(value) &&
    [value.name, value.host, value.prefix].every(isText) &&
    isListOf(value.targets, isObject) && value.targets.length > 0;
}

function isObject(value: unknown): value is Fields {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

function isListOf(
  value: unknown,
  isItem: (item: unknown) => boolean,
): value is readonly unknown[] {
  return Array.isArray(value) && value.every(isItem);
}

function isNumber(value: unknown): boolean {
  return Number.isFinite(value);
}

function isText(value: unknown): boolean {
  return typeof value === "string";
}
