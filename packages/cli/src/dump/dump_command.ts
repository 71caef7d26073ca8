import { command } from "cmd-ts";
import { type CommandResult, EXIT_CODES, usageError } from "../exit_codes.ts";
import { OPERATOR_OPTIONS } from "../operator_options.ts";
import {
  fetchJson,
  type OperatorArgs,
  resolveOperatorAddress,
} from "../operators_client.ts";

const INDENT = 2;

/** `tanagercove dump`: writes the state of one daemon. */
export const dumpCommand = command({
  name: "dump",
  description: "Write the whole state of one daemon as JSON",
  examples: [{
    description: "Save the state of a daemon for a report",
    command: "tanagercove dump --operator 127.0.0.1:8082 > dump.json",
  }],
  args: OPERATOR_OPTIONS,
  handler: dump,
});

async function dump(
  args: OperatorArgs & { readonly json: boolean },
): Promise<CommandResult> {
  const operator = await resolveOperatorAddress(args);
  if (operator.isErr) return usageError(...operator.error);
  const state = await fetchJson(operator.value, "/dump");
  if (state.isErr) {
    return { exitCode: EXIT_CODES.problemFound, errors: [state.error] };
  }
  const text = JSON.stringify(state.value, undefined, args.json ? 0 : INDENT);
  return { exitCode: EXIT_CODES.good, output: [text] };
}
