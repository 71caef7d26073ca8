import { run, subcommands } from "cmd-ts";
import { capacityCommand } from "./capacity/index.ts";
import { distributionCommand } from "./distribution/index.ts";
import { peerKeysCommand } from "./peer_keys/index.ts";
import { requestsCommand } from "./requests/index.ts";
import { slopesCommand } from "./slopes/index.ts";

const program = subcommands({
  name: "bench",
  description: "Benches of tanagercove; results are JSON lines",
  cmds: {
    capacity: capacityCommand,
    distribution: distributionCommand,
    "peer-keys": peerKeysCommand,
    requests: requestsCommand,
    slopes: slopesCommand,
  },
});

void run(program, process.argv.slice(2));
