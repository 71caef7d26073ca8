export type { RequestHeaderNames, SidecarSettings } from "./settings.ts";
export { runSidecar, type RunSidecarOptions } from "./run_sidecar.ts";
export {
  type Sidecar,
  startSidecar,
  type StartSidecarOptions,
} from "./sidecar.ts";
