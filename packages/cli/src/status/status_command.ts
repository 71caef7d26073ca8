import { command } from "cmd-ts";
import { parseFleetStatus } from "@tanagercove/daemon";
import { type CommandResult, EXIT_CODES, usageError } from "../exit_codes.ts";
import { OPERATOR_OPTIONS } from "../operator_options.ts";
import {
  fetchJson,
  type OperatorArgs,
  resolveOperatorAddress,
} from "../operators_client.ts";
import { judgeStatus } from "./judge_status.ts";
import { renderStatus } from "./render_status.ts";

/** `tanagercove status`: shows which version is in force where. */
export const statusCommand = command({
  name: "status",
  description:
    "Show which version is in force where, which daemons lag, and what was refused; exit code 1 if there is any problem",
  examples: [
    {
      description: "Query the daemon on this VM",
      command: "tanagercove status --operator 127.0.0.1:8082",
    },
    {
      description: "Take the port from the settings; write JSON",
      command: "tanagercove status --settings /etc/tanagercove.ini --json",
    },
  ],
  args: OPERATOR_OPTIONS,
  handler: status,
});

async function status(
  args: OperatorArgs & { readonly json: boolean },
): Promise<CommandResult> {
  const operator = await resolveOperatorAddress(args);
  if (operator.isErr) return usageError(...operator.error);
  const response = await fetchJson(operator.value, "/status?scope=fleet");
  if (response.isErr) {
    return { exitCode: EXIT_CODES.problemFound, errors: [response.error] };
  }
  const fleet = parseFleetStatus(response.value);
  if (fleet === undefined) {
    const errors = ["Malformed status; is this the operators' port?"];
    return { exitCode: EXIT_CODES.problemFound, errors };
  }
  const report = judgeStatus(fleet);
  return {
    exitCode: report.good ? EXIT_CODES.good : EXIT_CODES.problemFound,
    output: args.json
      ? [JSON.stringify({ ...report, daemons: fleet.daemons })]
      : renderStatus(report),
  };
}
