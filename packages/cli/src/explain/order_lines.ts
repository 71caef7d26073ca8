import type { LogLine } from "./read_log_lines.ts";

/**
 * Orders the log lines of a request. Nested calls come before the request that
 * made them. Within a request, the lines of the owner daemons (those on the VMs of
 * the upstreams) come in the order of the attempts. The line of the caller's daemon
 * comes after them, since it is written last. The clocks of VMs differ, so timestamps
 * decide only between lines that these rules leave equal.
 */
export function orderLines(lines: readonly LogLine[]): readonly LogLine[] {
  const upstreamsByRequest = new Map(
    lines.filter(({ event }) => event === "request_ended").map((line) => [
      line.requestId,
      upstreamsTried(line),
    ]),
  );
  const step = (line: LogLine) =>
    line.event === "request_ended"
      ? Number.MAX_SAFE_INTEGER
      : attemptIndexOf(line, upstreamsByRequest.get(line.requestId) ?? []);
  return [...lines].sort((a, b) => {
    if (a.requestId !== b.requestId) {
      const depthDifference = depthOf(b) - depthOf(a);
      return depthDifference !== 0 ? depthDifference : a.timeMs - b.timeMs;
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

function attemptIndexOf(
  { fields }: LogLine,
  tried: readonly unknown[],
): number {
  const index = tried.indexOf(fields.upstream_id);
  return index < 0 ? tried.length : index;
}
