import { command } from "cmd-ts";
import { parseFleetStatus } from "@tanagercove/daemon";
import { type CommandEnd, EXIT_CODES, usageError } from "../exit_codes.ts";
import { OPERATOR_OPTIONS } from "../operator_options.ts";
import {
  findOperator,
  type OperatorArgs,
  readOperators,
} from "../operators_client.ts";
import { judgeStatus } from "./judge_status.ts";
import { renderStatus } from "./render_status.ts";

/** `tanagercove status`: shows which version is in force where. */
export const statusCommand = command({
  name: "status",
  description:
    "Show which version is in force where, who lags, and what was refused; exit code 1 if anything is not good",
  examples: [
    {
      description: "Ask the daemon on this VM",
      command: "tanagercove status --operator 127.0.0.1:8082",
    },
    {
      description: "Find the port in the settings; write JSON",
      command: "tanagercove status --settings /etc/tanagercove.ini --json",
    },
  ],
  args: OPERATOR_OPTIONS,
  handler: status,
});

async function status(
  args: OperatorArgs & { readonly json: boolean },
): Promise<CommandEnd> {
  const operator = await findOperator(args);
  if (operator.isErr) return usageError(...operator.error);
  const answer = await readOperators(operator.value, "/status?scope=fleet");
  if (answer.isErr) {
    return { exitCode: EXIT_CODES.notGood, errors: [answer.error] };
  }
  const fleet = parseFleetStatus(answer.value);
  if (fleet === undefined) {
    const errors = ["Malformed status; is this the operators' port?"];
    return { exitCode: EXIT_CODES.notGood, errors };
  }
  const report = judgeStatus(fleet);
  return {
    exitCode: report.good ? EXIT_CODES.good : EXIT_CODES.notGood,
    output: args.json
      ? [JSON.stringify({ ...report, daemons: fleet.daemons })]
      : renderStatus(report),
  };
}
