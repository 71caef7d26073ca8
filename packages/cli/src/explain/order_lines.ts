import type { LogLine } from "./read_log_lines.ts";

/**
 * Orders the lines of a request: calls within it before itself, and the owner
 * daemons' lines in the order of the attempts before the line of the caller's
 * daemon, which is written last. Clocks of VMs differ, so time decides only
 * where the steps themselves do not.
 */
export function orderLines(lines: readonly LogLine[]): readonly LogLine[] {
  const attempts = new Map(
    lines.filter(({ event }) => event === "request_ended").map((line) => [
      line.requestId,
      upstreamsTried(line),
    ]),
  );
  const step = (line: LogLine) =>
    line.event === "request_ended"
      ? Number.MAX_SAFE_INTEGER
      : attemptOf(line, attempts.get(line.requestId) ?? []);
  return [...lines].sort((a, b) => {
    if (a.requestId !== b.requestId) {
      const isCall = depthOf(b) - depthOf(a);
      return isCall !== 0 ? isCall : a.timeMs - b.timeMs;
    }
    return step(a) - step(b) || a.timeMs - b.timeMs;
  });
}

function depthOf({ requestId }: LogLine): number {
  return requestId.split(".").length;
}

function upstreamsTried({ fields }: LogLine): readonly unknown[] {
  const attempts = Array.isArray(fields.attempts) ? fields.attempts : [];
  return attempts.map((attempt) =>
    (attempt as { readonly upstream_id?: unknown }).upstream_id
  );
}

function attemptOf({ fields }: LogLine, tried: readonly unknown[]): number {
  const index = tried.indexOf(fields.upstream_id);
  return index < 0 ? tried.length : index;
}
