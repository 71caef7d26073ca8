import { runSafely, subcommands } from "cmd-ts";
import { checkCommand } from "./check/check_command.ts";
import { dumpCommand } from "./dump/dump_command.ts";
import { type CommandResult, EXIT_CODES } from "./exit_codes.ts";
import { explainCommand } from "./explain/explain_command.ts";
import { PROGRAM_VERSION } from "./program_version.ts";
import { runCommand } from "./run/run_command.ts";
import { statusCommand } from "./status/status_command.ts";

const PROGRAM = subcommands({
  name: "tanagercove",
  version: PROGRAM_VERSION,
  description:
    "Routes each customer's requests by two lists that operators edit",
  cmds: {
    run: runCommand,
    check: checkCommand,
    status: statusCommand,
    dump: dumpCommand,
    explain: explainCommand,
  },
  examples: [
    {
      description: "Check both lists before publishing them",
      command:
        "tanagercove check --plans plans.txt --allowances allowances.txt",
    },
    {
      description: "Show the examples of a command",
      command: "tanagercove status --help",
    },
  ],
});

/** Runs the program with the arguments after its name. */
export async function runProgram(
  args: readonly string[],
): Promise<CommandResult> {
  const result = await runSafely(PROGRAM, [...args]);
  if (result._tag === "ok") return result.value.value;
  const { exitCode, message, into } = result.error.config;
  const isHelpOrVersion = exitCode === 0 && args.length > 0;
  const lines = [message];
  // cmd-ts exits with 1 on wrong usage, and with 0 without arguments. Here both are usage errors, and 1 means
  // that a problem was found.
  if (!isHelpOrVersion) return { exitCode: EXIT_CODES.usage, errors: lines };
  return into === "stdout"
    ? { exitCode: EXIT_CODES.good, output: lines }
    : { exitCode: EXIT_CODES.good, errors: lines };
}
