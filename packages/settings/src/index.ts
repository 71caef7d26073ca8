export {
  type AddressRange,
  parsePeerAddress,
  type PeerAddress,
} from "./key_kinds.ts";
export type { Settings } from "./key_table.ts";
export { exampleSettings, settingsReference } from "./reference.ts";
export {
  formatSettingsProblem,
  type KeyFileProblem,
  type NamedKeyFiles,
  parseSettings,
  type ParseSettingsOptions,
  type SettingsProblem,
} from "./settings.ts";
