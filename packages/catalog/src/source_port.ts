import type { Result } from "true-myth";
import type { PlatformError } from "@tanagercove/errors";
import type { RouteConfiguration, UpstreamEntry } from "@tanagercove/types";
import type { CatalogTransfer } from "./catalog_transfer.ts";
import type { EvacuationState } from "./evacuations.ts";

/** A change of the routes or upstreams that the platform publishes. */
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
    /** The operator asks that the upstreams of a zone get no more requests, or takes that back. */
    readonly kind: "evacuation";
    readonly revision: number;
    readonly zone: string;
    readonly isEvacuated: boolean;
  }
  | {
    /** A value that could not be decoded; it provides no upstream and no route. */
    readonly kind: "unreadable";
    readonly revision: number;
    readonly key: string;
    /** Set when the value is the entry of an upstream. */
    readonly upstreamId: string | undefined;
    readonly problem: string;
  };

/**
 * Changes up to a revision of the platform, or a full snapshot at that revision. Revisions are ordered across the eras of
 * the platform's store (`revisionInEra`).
 */
export interface CatalogUpdate {
  readonly revision: number;
  /** Revision of the newest upstream change in a full snapshot, removals included; undefined if it is not known. */
  readonly upstreamRevision?: number;
  /**
   * All evacuations; undefined if the update does not tell them. They are not among the changes, as a daemon of an earlier
   * version refuses an update with a change of an unknown kind.
   */
  readonly evacuations?: EvacuationState;
  readonly changes: readonly CatalogChange[];
}

/** Options of both kinds of reads of a `CatalogSource`. */
export interface TransferOptions {
  /** Called at the end of each response that the read needs. */
  readonly onTransfer?: (transfer: CatalogTransfer) => void;
}

/** Options of `CatalogSource.readAll`. */
export interface ReadCatalogOptions extends TransferOptions {
  /**
   * Revision up to which the caller knows the configuration and the evacuations. The read leaves them out if they have
   * certainly not changed since. Without a revision, they are always read.
   */
  readonly knownConfigurationRevision?: number;
}

/** Options of `CatalogSource.watch`. */
export interface WatchCatalogOptions extends TransferOptions {
  readonly afterRevision: number;
  /** Timeout of a watch without changes. */
  readonly waitMs: number;
  /** Aborts the watch, which then returns the error `unreachable`. */
  readonly signal?: AbortSignal;
}

/** Read-only access to the routes and upstreams that the platform publishes. */
export interface CatalogSource {
  /** Reads all entries; an upstream that is missing from the result does not exist, and no further zone is evacuated. */
  readAll(
    options?: ReadCatalogOptions,
  ): Promise<Result<CatalogUpdate, PlatformError>>;
  /**
   * Waits for changes after a revision. The error `history_dropped` says that a full read is needed: the platform no
   * longer has the changes since that revision, or never had it, since its store is in another era.
   */
  watch(
    options: WatchCatalogOptions,
  ): Promise<Result<CatalogUpdate, PlatformError>>;
  close(): Promise<void>;
}
