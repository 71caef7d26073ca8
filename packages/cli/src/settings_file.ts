import { Result } from "true-myth";
import {
  formatSettingsProblem,
  parseSettings,
  type Settings,
} from "@tanagercove/settings";
import { readTextFile } from "./text_file.ts";

/** Reads and checks a settings file; the errors are lines for the user. */
export async function readSettingsFile(
  path: string,
): Promise<Result<Settings, readonly string[]>> {
  const text = await readTextFile(path);
  if (text.isErr) return Result.err([text.error]);
  return parseSettings(text.value).mapErr((problems) =>
    problems.map((problem) => `${path}: ${formatSettingsProblem(problem)}`)
  );
}
