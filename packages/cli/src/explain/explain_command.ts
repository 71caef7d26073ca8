import { command, flag, option, restPositionals, string } from "cmd-ts";
import { type CommandEnd, EXIT_CODES, usageError } from "../exit_codes.ts";
import { orderLines } from "./order_lines.ts";
import { type LogLine, readLogLines } from "./read_log_lines.ts";

/** Arguments of `tanagercove explain`. */
export interface ExplainArgs {
  readonly id: string;
  readonly files: readonly string[];
  readonly json: boolean;
}

/** `tanagercove explain`: tells a request's way from the logs of several daemons. */
export const explainCommand = command({
  name: "explain",
  description: "Tell from log files what was decided about one request",
  examples: [{
    description: "Find out why a request failed",
    command: "tanagercove explain --id 9c41d07be2a35f68 logs/*.log",
  }],
  args: {
    id: option({ type: string, long: "id", description: "Id of the request" }),
    json: flag({ long: "json", description: "Write JSON in place of text" }),
    files: restPositionals({
      type: string,
      displayName: "FILE",
      description: "Log files of daemons",
    }),
  },
  handler: explain,
});

/** Reads all files and writes the lines of the request in the order of its steps. */
export async function explain(
  { id, files, json }: ExplainArgs,
): Promise<CommandEnd> {
  if (files.length === 0) return usageError("Expected at least one log file");
  const readings = await Promise.all(
    files.map((path) => readLogLines(path, id)),
  );
  const errors = readings.flatMap((reading) =>
    reading.isErr ? [reading.error] : []
  );
  if (errors.length > 0) return usageError(...errors);
  const lines = orderLines(
    readings.flatMap((reading) => reading.isOk ? reading.value : []),
  );
  if (lines.length === 0) {
    const error = `No line on request "${id}" in ${files.length} file(s); ` +
      "plain successes are counted only";
    return { exitCode: EXIT_CODES.notGood, errors: [error] };
  }
  return {
    exitCode: EXIT_CODES.good,
    output: json ? [JSON.stringify(lines)] : lines.flatMap(textOf),
  };
}

function textOf(line: LogLine): readonly string[] {
  const { attempts, ...fields } = line.fields;
  const time = new Date(line.timeMs).toISOString();
  return [
    `${time}  ${line.vmId}  ${line.event}  ${line.requestId}`,
    `    ${pairs(fields)}`,
    ...(Array.isArray(attempts) ? attempts : []).map((attempt, i) =>
      `    attempt ${i + 1}: ${pairs(attempt as Record<string, unknown>)}`
    ),
  ];
}

function pairs(fields: Readonly<Record<string, unknown>>): string {
  return Object.entries(fields).map(([name, value]) => `${name}=${value}`)
    .join(" ");
}
