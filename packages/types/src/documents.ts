/** Names of the values that daemons read from the platform. */
export type PlatformKey = "plans" | "allowances" | "vms";

/** Kinds of snapshot that daemons replicate: `plans` and `allowances` together as `lists`, or the VM list. */
export type SnapshotKind = "lists" | "vms";

/** Texts of a snapshot by kind. `plans` and `allowances` are always stored, sent and hashed together. */
export interface SnapshotTexts {
  readonly lists: { readonly plans: string; readonly allowances: string };
  readonly vms: { readonly vms: string };
}

/** Identity of a snapshot. `hash` is the hex SHA-256 of the names, lengths and contents of its texts. */
export interface SnapshotId {
  readonly revision: number;
  readonly hash: string;
}

/** A whole snapshot as of one revision of the platform. */
export interface Snapshot<K extends SnapshotKind> extends SnapshotId {
  readonly kind: K;
  readonly texts: SnapshotTexts[K];
}

/** Valid content of `plans` and `allowances`, ready for lookups. */
export interface Lists {
  /** Plan by customer. */
  readonly planByCustomer: ReadonlyMap<string, string>;
  /** Allowed services by plan. */
  readonly servicesByPlan: ReadonlyMap<string, ReadonlySet<string>>;
}

/** A line in one of the published values, counted from 1. */
export interface ListLocation {
  readonly list: PlatformKey;
  readonly line: number;
}

/** Why a list is invalid, and where. */
export interface ListProblem {
  readonly location: ListLocation;
  readonly message: string;
}
