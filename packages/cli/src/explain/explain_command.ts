import { command, flag, option, restPositionals, string } from "cmd-ts";
import { type CommandResult, EXIT_CODES, usageError } from "../exit_codes.ts";
import { orderLines } from "./order_lines.ts";
import { type LogLine, readLogLines } from "./read_log_lines.ts";

/** Arguments of `tanagercove explain`. */
export interface ExplainArgs {
  readonly id: string;
  readonly files: readonly string[];
  readonly json: boolean;
}

/** `tanagercove explain`: traces one request through the logs of several daemons. */
export const explainCommand = command({
  name: "explain",
  description: "Show from log files what was decided about one request",
  examples: [{
    description: "Find out why a request failed",
    command: "tanagercove explain --id 9c41d07be2a35f68 logs/*.log",
  }],
  args: {
    id: option({ type: string, long: "id", description: "Id of the request" }),
    json: flag({ long: "json", description: "Write JSON instead of text" }),
    files: restPositionals({
      type: string,
      displayName: "FILE",
      description: "Log files of daemons",
    }),
  },
  handler: explain,
});

/** Reads all files and writes the request's log lines in the order of its steps. */
export async function explain(
  { id, files, json }: ExplainArgs,
): Promise<CommandResult> {
  if (files.length === 0) return usageError("Expected at least one log file");
  const results = await Promise.all(
    files.map((path) => readLogLines(path, id)),
  );
  const errors = results.flatMap((result) =>
    result.isErr ? [result.error] : []
  );
  if (errors.length > 0) return usageError(...errors);
  const lines = orderLines(
    results.flatMap((result) => result.isOk ? result.value : []),
  );
  if (lines.length === 0) {
    const error = `No line on request "${id}" in ${files.length} file(s); ` +
      "requests that succeed at the first attempt are counted, not logged";
    return { exitCode: EXIT_CODES.problemFound, errors: [error] };
  }
  return {
    exitCode: EXIT_CODES.good,
    output: json ? [JSON.stringify(lines)] : lines.flatMap(formatLine),
  };
}

function formatLine(line: LogLine): readonly string[] {
  const { attempts, ...fields } = line.fields;
  const time = new Date(line.timeMs).toISOString();
  return [
    `${time}  ${line.vmId}  ${line.event}  ${line.requestId}`,
    `    ${formatFields(fields)}`,
    ...(Array.isArray(attempts) ? attempts : []).map((attempt, i) =>
      `    attempt ${i + 1}: ${
        formatFields(attempt as Record<string, unknown>)
      }`
    ),
  ];
}

function formatFields(fields: Readonly<Record<string, unknown>>): string {
  return Object.entries(fields).map(([name, value]) => `${name}=${value}`)
    .join(" ");
}
