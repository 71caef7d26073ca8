import type { Result } from "true-myth";
import type { PlatformError } from "@tanagercove/errors";
import type { RouteConfiguration, UpstreamEntry } from "@tanagercove/types";

/** One change of what the platform publishes. */
export type CatalogChange =
  | {
    readonly kind: "configuration";
    readonly revision: number;
    readonly configuration: RouteConfiguration;
  }
  | {
    readonly kind: "upstream";
    readonly revision: number;
    readonly entry: UpstreamEntry;
  }
  | {
    readonly kind: "upstream_removed";
    readonly revision: number;
    readonly id: string;
  }
  | {
    /** A value that cannot be read; it names no upstream and no route. */
    readonly kind: "unreadable";
    readonly revision: number;
    readonly key: string;
    /** Set when the value is the entry of an upstream. */
    readonly upstreamId: string | undefined;
    readonly problem: string;
  };

/** Changes up to a revision of the platform. */
export interface CatalogUpdate {
  readonly revision: number;
  readonly changes: readonly CatalogChange[];
}

/** Options of `CatalogSource.watch`. */
export interface WatchCatalogOptions {
  readonly afterRevision: number;
  /** Time after which a watch without changes ends. */
  readonly waitMs: number;
  /** Ends the watch early; it then answers `unreachable`. */
  readonly signal?: AbortSignal;
}

/** Read-only access to the routes and upstreams that the platform publishes. */
export interface CatalogSource {
  /** Reads everything; what is not in the reading does not exist. */
  readAll(): Promise<Result<CatalogUpdate, PlatformError>>;
  /** Waits for changes after a revision. */
  watch(
    options: WatchCatalogOptions,
  ): Promise<Result<CatalogUpdate, PlatformError>>;
  close(): Promise<void>;
}
