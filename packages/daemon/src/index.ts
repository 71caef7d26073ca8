export {
  type Configuration,
  createConfiguration,
  type CreateConfigurationOptions,
} from "./configuration.ts";
export { type Daemon, startDaemon, type StartDaemonOptions } from "./daemon.ts";
export {
  type DaemonState,
  type DaemonSummary,
  parseSummary,
} from "./daemon_summary.ts";
export {
  type FleetStatus,
  type MissingDaemon,
  parseFleetStatus,
} from "./fleet_status.ts";
export {
  type DaemonEnd,
  EXIT_CODE_INVARIANT_BROKEN,
  runDaemon,
  type RunDaemonOptions,
} from "./run_daemon.ts";
