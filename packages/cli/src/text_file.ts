import { readFile, stat } from "node:fs/promises";
import { Result } from "true-myth";

/** Limit of the platform for a value; settings files are far smaller. */
export const MAX_FILE_BYTES = 1_000_000;

const REASON_BY_CODE: Readonly<Record<string, string>> = {
  ENOENT: "no such file",
  EACCES: "permission denied",
  EISDIR: "it is a directory",
  ENOTDIR: "a part of its path is not a directory",
};

/** Reads a UTF-8 text file of at most `MAX_FILE_BYTES`; the error is one line for the user. */
export async function readTextFile(
  path: string,
): Promise<Result<string, string>> {
  const fail = (reason: string) =>
    Result.err<string, string>(`Cannot read "${path}": ${reason}`);
  try {
    const stats = await stat(path);
    if (stats.isDirectory()) return fail("it is a directory");
    if (stats.size > MAX_FILE_BYTES) {
      return fail(
        `it has ${stats.size} bytes, expected at most ${MAX_FILE_BYTES}`,
      );
    }
    const bytes = await readFile(path);
    return Result.ok(new TextDecoder("utf-8", { fatal: true }).decode(bytes));
  } catch (error) {
    if (error instanceof TypeError) return fail("it is not UTF-8 text");
    const { code = "", message } = error as NodeJS.ErrnoException;
    return fail(REASON_BY_CODE[code] ?? message);
  }
}
