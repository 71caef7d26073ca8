/** Exit codes of the program. */
export const EXIT_CODES = {
  good: 0,
  /** The thing asked about is not good. */
  notGood: 1,
  /** Wrong usage, settings or an unreadable file. */
  usage: 2,
} as const;

/** What a command writes and how it ends. */
export interface CommandEnd {
  readonly exitCode: number;
  /** Lines for standard output. */
  readonly output?: readonly string[];
  /** Lines for standard error. */
  readonly errors?: readonly string[];
}

/** Ends a command because of wrong usage, settings or an unreadable file. */
export function usageError(...errors: readonly string[]): CommandEnd {
  return { exitCode: EXIT_CODES.usage, errors };
}
