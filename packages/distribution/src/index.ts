export * from "./distribution.ts";
export {
  type DistributionTuning,
  resolveTuning,
  type Weight,
} from "./options.ts";
export type { JoinOutcome } from "./joining.ts";
export type { PlatformCounts, WatchRole } from "./platform_watch.ts";
export type { ReplicationCounts, SnapshotStores } from "./replication.ts";
