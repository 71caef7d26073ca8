import { readFile } from "node:fs/promises";
import { command, option, string } from "cmd-ts";
import { startDaemon } from "@tanagercove/daemon";
import { createLogger } from "@tanagercove/logs";
import { parseSettings } from "@tanagercove/settings";

/** `tanagercove run`: runs one daemon until SIGTERM or SIGINT. */
export const runCommand = command({
  name: "run",
  description: "Run the daemon of one VM",
  args: {
    settings: option({
      type: string,
      long: "settings",
      description: "INI file",
    }),
  },
  handler: async (args) => {
    const settings = parseSettings(await readFile(args.settings, "utf8"));
    if (settings.isErr) {
      for (const problem of settings.error) {
        console.error(
          `[${problem.section}] ${problem.key}: ${problem.message}`,
        );
      }
      process.exitCode = 2;
      return;
    }
    const { vmId, zone } = settings.value.daemon;
    const daemon = await startDaemon({
      settings: settings.value,
      log: createLogger({ vmId, zone }),
    });
    const stop = () => void daemon.close().then(() => process.exit(0));
    process.once("SIGTERM", stop);
    process.once("SIGINT", stop);
  },
});
