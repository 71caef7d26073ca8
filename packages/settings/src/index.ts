export {
  type AddressRange,
  parsePeerAddress,
  type PeerAddress,
} from "./key_kinds.ts";
export type { Settings } from "./key_table.ts";
export { exampleSettings, settingsReference } from "./reference.ts";
export {
  formatSettingsProblem,
  parseSettings,
  type SettingsProblem,
} from "./settings.ts";
