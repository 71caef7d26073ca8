import type { Result } from "true-myth";
import type { PlatformError } from "@tanagercove/errors";
import type { PlatformKey } from "@tanagercove/types";

/** A consistent snapshot of the revisions of the platform's values. */
export interface PlatformIndex {
  /** Revision of the store; increases with every change. */
  readonly revision: number;
  /** Revision at which each value last changed. */
  readonly keys: Readonly<Record<PlatformKey, number>>;
}

/** One value with the revision at which it last changed. */
export interface PlatformValue {
  readonly key: PlatformKey;
  readonly revision: number;
  readonly value: string;
}

/** Options of `PlatformPort.watchIndex`. */
export interface WatchIndexOptions {
  /** Answer as soon as the store's revision is above this one. */
  readonly afterRevision: number;
  /** Answer at the latest after this time, even with an unchanged index. 0 answers at once. */
  readonly waitMs: number;
  /** Aborts the call, which then fails with `unreachable`. */
  readonly signal?: AbortSignal;
}

/** Read-only access to the platform. Each call counts against the platform's rate limit. */
export interface PlatformPort {
  watchIndex(
    options: WatchIndexOptions,
  ): Promise<Result<PlatformIndex, PlatformError>>;
  readValue(key: PlatformKey): Promise<Result<PlatformValue, PlatformError>>;
  close(): Promise<void>;
}
