import { command, option, string } from "cmd-ts";
import { runDaemon } from "@tanagercove/daemon";
import { createLogger } from "@tanagercove/logs";
import { type CommandResult, EXIT_CODES, usageError } from "../exit_codes.ts";
import { PROGRAM_VERSION } from "../program_version.ts";
import { readSettingsFile } from "../settings_file.ts";

/** `tanagercove run`: runs one daemon until SIGTERM or SIGINT. */
export const runCommand = command({
  name: "run",
  description:
    "Run the daemon of one VM until SIGTERM or SIGINT; a second signal ends it at once",
  examples: [{
    description: "Run with the settings of this VM",
    command: "tanagercove run --settings /etc/tanagercove.ini",
  }],
  args: {
    settings: option({
      type: string,
      long: "settings",
      description: "INI file; see docs/settings.md",
    }),
  },
  handler: async (args): Promise<CommandResult> => {
    const settings = await readSettingsFile(args.settings);
    if (settings.isErr) return usageError(...settings.error);
    const { daemon: { vmId, zone }, logs: { level } } = settings.value;
    const end = await runDaemon({
      settings: settings.value,
      log: createLogger({ vmId, zone, level }),
      programVersion: PROGRAM_VERSION,
    });
    if (end.kind === "start_failed") return usageError(end.message);
    return {
      exitCode: end.kind === "stopped"
        ? EXIT_CODES.good
        : EXIT_CODES.problemFound,
    };
  },
});
