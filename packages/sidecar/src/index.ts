export type { CallerResult } from "./caller_handler.ts";
export type { RequestHeaderNames, SidecarSettings } from "./settings.ts";
export {
  type Sidecar,
  type SidecarEvents,
  startSidecar,
  type StartSidecarOptions,
} from "./sidecar.ts";
