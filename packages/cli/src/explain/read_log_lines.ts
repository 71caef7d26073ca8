import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";
import { Result } from "true-myth";

/** One decoded line of a daemon's log. */
export interface LogLine {
  readonly timeMs: number;
  readonly vmId: string;
  readonly event: string;
  readonly requestId: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Fields that lines of all events share; the others are specific to the event. */
const COMMON_FIELDS: ReadonlySet<string> = new Set([
  "level",
  "time_ms",
  "vm_id",
  "zone",
  "event",
  "request_id",
]);

/**
 * Reads the lines of a log file that belong to a request or to its nested calls.
 * The error is one line for the user. A file without any log line is an error,
 * since it is probably not a daemon's log.
 */
export async function readLogLines(
  path: string,
  id: string,
): Promise<Result<readonly LogLine[], string>> {
  const matching: LogLine[] = [];
  let logLineCount = 0;
  try {
    const lines = createInterface({ input: createReadStream(path) });
    for await (const text of lines) {
      const line = decodeLine(text);
      if (line === undefined) continue;
      logLineCount += 1;
      if (belongsTo(line.requestId, id)) matching.push(line);
    }
  } catch (error) {
    return Result.err(`Cannot read "${path}": ${(error as Error).message}`);
  }
  return logLineCount === 0
    ? Result.err(`"${path}" has no log lines`)
    : Result.ok(matching);
}

/** A nested call has the id of its request, followed by a dot and its own id. */
function belongsTo(requestId: string, id: string): boolean {
  return requestId === id || requestId.startsWith(`${id}.`);
}

/** Decodes a line, ignoring a prefix that a log collector may have put before the JSON. */
function decodeLine(text: string): LogLine | undefined {
  const start = text.indexOf("{");
  if (start < 0) return undefined;
  try {
    const fields = JSON.parse(text.slice(start)) as Record<string, unknown>;
    if (typeof fields.event !== "string") return undefined;
    return {
      timeMs: Number(fields.time_ms),
      vmId: String(fields.vm_id),
      event: fields.event,
      requestId: String(fields.request_id ?? ""),
      fields: Object.fromEntries(
        Object.entries(fields).filter(([name]) => !COMMON_FIELDS.has(name)),
      ),
    };
  } catch {
    // Not JSON, so not from a daemon; other programs may write to the same file.
    return undefined;
  }
}
