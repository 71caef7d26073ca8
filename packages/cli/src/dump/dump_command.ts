import { command } from "cmd-ts";
import { type CommandEnd, EXIT_CODES, usageError } from "../exit_codes.ts";
import { OPERATOR_OPTIONS } from "../operator_options.ts";
import {
  findOperator,
  type OperatorArgs,
  readOperators,
} from "../operators_client.ts";

const INDENT = 2;

/** `tanagercove dump`: writes the state that one daemon holds. */
export const dumpCommand = command({
  name: "dump",
  description: "Write everything that one daemon holds, as JSON",
  examples: [{
    description: "Keep the state of a daemon for a report",
    command: "tanagercove dump --operator 127.0.0.1:8082 > dump.json",
  }],
  args: OPERATOR_OPTIONS,
  handler: dump,
});

async function dump(
  args: OperatorArgs & { readonly json: boolean },
): Promise<CommandEnd> {
  const operator = await findOperator(args);
  if (operator.isErr) return usageError(...operator.error);
  const state = await readOperators(operator.value, "/dump");
  if (state.isErr) {
    return { exitCode: EXIT_CODES.notGood, errors: [state.error] };
  }
  const text = JSON.stringify(state.value, undefined, args.json ? 0 : INDENT);
  return { exitCode: EXIT_CODES.good, output: [text] };
}
