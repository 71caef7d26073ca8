export * from "./distribution.ts";
export {
  completeTuning,
  type DistributionTuning,
  type Weight,
} from "./options.ts";
export type { JoinOutcome } from "./joining.ts";
export type { PlatformCounts, WatchRole } from "./platform_watch.ts";
export type { ReplicationCounts, SnapshotStores } from "./replication.ts";
