import { run, subcommands } from "cmd-ts";
import { runCommand } from "./run/run_command.ts";

declare const TANAGERCOVE_VERSION: string;

const program = subcommands({
  name: "tanagercove",
  version: TANAGERCOVE_VERSION,
  cmds: { run: runCommand },
});

void run(program, process.argv.slice(2));
