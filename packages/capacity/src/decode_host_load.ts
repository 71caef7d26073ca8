/** What an upstream says of itself in an answer. */
export interface HostLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Time that work takes on its host now, relative to the usual time; undefined if it is not told. */
  readonly workTimeFactor: number | undefined;
}

/** Longest field that is read; four whole numbers need far less. */
const MAX_FIELD_LENGTH = 64;

/** Range of the told work time in percent; a figure outside it describes no host that still works. */
const MIN_WORK_TIME_PERCENT = 1;
const MAX_WORK_TIME_PERCENT = 100_000;

const FIELD_PATTERN =
  /^\s*(\d+)\s*,\s*(\d+)\s*,\s*(\d+)\s*(?:,\s*(\d+(?:\.\d+)?)\s*)?$/;

/**
 * Decodes the running and waiting requests, the slots and, if it is there, the work time of the host in percent of the
 * usual one. Returns undefined for a field that cannot be read.
 */
export function decodeHostLoad(
  field: string | readonly string[] | undefined,
): HostLoad | undefined {
  if (typeof field !== "string" || field.length > MAX_FIELD_LENGTH) {
    return undefined;
  }
  const match = FIELD_PATTERN.exec(field);
  if (match === null) return undefined;
  const [running, waiting, slots] = match.slice(1, 4).map(Number);
  const percent = match[4] === undefined ? undefined : Number(match[4]);
  if (!(slots! >= 1)) return undefined;
  if (
    percent !== undefined &&
    !(percent >= MIN_WORK_TIME_PERCENT && percent <= MAX_WORK_TIME_PERCENT)
  ) return undefined;
  return {
    running: running!,
    waiting: waiting!,
    slots: slots!,
    workTimeFactor: percent === undefined ? undefined : percent / 100,
  };
}
