import type { FetchStats } from "@tanagercove/transfers";

/** A fetch of routes or upstreams, from the platform or from another daemon. */
export interface CatalogTransfer extends FetchStats {
  /** `platform`, or the address of a daemon as `IP:PORT`. */
  readonly source: string;
  /** What was requested, for example `configuration`, `upstreams`, `changes` or `feed`. */
  readonly content: string;
}
