import { run, subcommands } from "cmd-ts";
import { demoCommand } from "./demo_command.ts";
import { loadCommand } from "./load_command.ts";
import { upstreamCommand } from "./upstream_command.ts";

const program = subcommands({
  name: "emulator",
  cmds: { demo: demoCommand, load: loadCommand, upstream: upstreamCommand },
});

void run(program, process.argv.slice(2));
