import { Result } from "true-myth";
import { readPeerKeys } from "@tanagercove/keys";
import {
  formatSettingsProblem,
  parseSettings,
  type Settings,
} from "@tanagercove/settings";
import { readTextFile } from "./text_file.ts";

/** Reads and validates a settings file and the TLS files that it names; the errors are lines for the user. */
export async function readSettingsFile(
  path: string,
): Promise<Result<Settings, readonly string[]>> {
  const text = await readTextFile(path);
  if (text.isErr) return Result.err([text.error]);
  const parsed = parseSettings(text.value, {
    checkKeyFiles: ({ vmId, address, ...files }) => {
      const keys = readPeerKeys({ files, vmId, address });
      return keys.isErr ? keys.error : [];
    },
  });
  return parsed.mapErr((problems) =>
    problems.map((problem) => `${path}: ${formatSettingsProblem(problem)}`)
  );
}
