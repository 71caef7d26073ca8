import { stringify } from "ini";

/** Sections of a settings file. */
export type IniSections = Readonly<
  Record<string, Readonly<Record<string, string | number>>>
>;

/** Merges sections; later values replace earlier ones. */
export function mergeSections(...parts: readonly IniSections[]): IniSections {
  const merged: Record<string, Record<string, string | number>> = {};
  for (const part of parts) {
    for (const [section, values] of Object.entries(part)) {
      merged[section] = { ...merged[section], ...values };
    }
  }
  return merged;
}

/** Formats the text of a settings file. */
export function formatSettings(sections: IniSections): string {
  return stringify(sections, { whitespace: true });
}
