import { run, subcommands } from "cmd-ts";
import { distributionCommand } from "./distribution/index.ts";

const program = subcommands({
  name: "bench",
  description: "Benches of tanagercove; results are JSON lines",
  cmds: { distribution: distributionCommand },
});

void run(program, process.argv.slice(2));
