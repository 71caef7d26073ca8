/** Exit codes of the program. */
export const EXIT_CODES = {
  good: 0,
  /** What was checked has a problem, a query or search gave no usable result, or the daemon did not stop cleanly. */
  problemFound: 1,
  /** Wrong usage, invalid settings, an unusable file, or a daemon that could not listen on its ports. */
  usage: 2,
} as const;

/** Exit code and output of a command. */
export interface CommandResult {
  readonly exitCode: number;
  /** Lines for standard output. */
  readonly output?: readonly string[];
  /** Lines for standard error. */
  readonly errors?: readonly string[];
}

/** Result of a command that ends with `EXIT_CODES.usage`. */
export function usageError(...errors: readonly string[]): CommandResult {
  return { exitCode: EXIT_CODES.usage, errors };
}
