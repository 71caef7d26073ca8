import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";
import { Result } from "true-myth";

/** One line of a log, decoded. */
export interface LogLine {
  readonly timeMs: number;
  readonly vmId: string;
  readonly event: string;
  readonly requestId: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Fields that every line has; the others belong to its event. */
const COMMON_FIELDS: ReadonlySet<string> = new Set([
  "level",
  "time_ms",
  "vm_id",
  "zone",
  "event",
  "request_id",
]);

/**
 * Reads the lines of a log file that belong to a request or to calls within it.
 * The error is one line for the user. A file without any log line is none.
 */
export async function readLogLines(
  path: string,
  id: string,
): Promise<Result<readonly LogLine[], string>> {
  const found: LogLine[] = [];
  let logLines = 0;
  try {
    const lines = createInterface({ input: createReadStream(path) });
    for await (const text of lines) {
      const line = decodeLine(text);
      if (line === undefined) continue;
      logLines += 1;
      if (belongsTo(line.requestId, id)) found.push(line);
    }
  } catch (error) {
    return Result.err(`Cannot read "${path}": ${(error as Error).message}`);
  }
  return logLines === 0
    ? Result.err(`"${path}" has no log lines`)
    : Result.ok(found);
}

/** The id of a call within a request is that of the request, a dot and an id of its own. */
function belongsTo(requestId: string, id: string): boolean {
  return requestId === id || requestId.startsWith(`${id}.`);
}

/** Decodes a line; what a collector of logs puts before the JSON is passed over. */
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
    // Not JSON, so no line of a daemon; other programs may write to the same file.
    return undefined;
  }
}
