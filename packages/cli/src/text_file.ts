import { readFile, stat } from "node:fs/promises";
import { Result } from "true-myth";

/** Values on the platform are at most 1 MB; no settings file comes near it. */
export const MAX_FILE_BYTES = 1_000_000;

const REASON_BY_CODE: Readonly<Record<string, string>> = {
  ENOENT: "no such file",
  EACCES: "permission denied",
  EISDIR: "it is a directory",
  ENOTDIR: "a part of its path is no directory",
};

/** Reads a UTF-8 text file of at most `MAX_FILE_BYTES`; the error is one line for the user. */
export async function readTextFile(
  path: string,
): Promise<Result<string, string>> {
  const refuse = (reason: string) =>
    Result.err<string, string>(`Cannot read "${path}": ${reason}`);
  try {
    const found = await stat(path);
    if (found.isDirectory()) return refuse("it is a directory");
    if (found.size > MAX_FILE_BYTES) {
      return refuse(
        `it has ${found.size} bytes, expected at most ${MAX_FILE_BYTES}`,
      );
    }
    const bytes = await readFile(path);
    return Result.ok(new TextDecoder("utf-8", { fatal: true }).decode(bytes));
  } catch (error) {
    if (error instanceof TypeError) return refuse("it is not UTF-8 text");
    const { code = "", message } = error as NodeJS.ErrnoException;
    return refuse(REASON_BY_CODE[code] ?? message);
  }
}
