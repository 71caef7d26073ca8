import type { NumberReading } from "./metrics.ts";

/** Levels below the prefix that are read; deeper values are details that belong in `dump`. */
const MAX_DEPTH = 5;

/**
 * Reads the numbers and booleans of a state object, down to `MAX_DEPTH`, as gauges named by their path in snake case:
 * `{ callers: { brokenOff: 2 } }` under `requests` gives `requests_callers_broken_off 2`. Arrays are
 * left out, since their indexes would be unstable names.
 */
export function readState(
  prefix: string,
  state: unknown,
): readonly NumberReading[] {
  const value = typeof state === "boolean" ? Number(state) : state;
  if (typeof value === "number") {
    return [{ name: snakeCase(prefix), labels: {}, value }];
  }
  const isRecord = typeof value === "object" && value !== null &&
    !Array.isArray(value);
  if (!isRecord || prefix.split(".").length > MAX_DEPTH) return [];
  return Object.entries(value).flatMap(([key, field]) =>
    readState(`${prefix}.${key}`, field)
  );
}

function snakeCase(path: string): string {
  return path
    .replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`)
    .replace(/[^a-z0-9_]/g, "_");
}
