import { parse } from "ini";

/** One `key = value` line of a settings file. */
export interface IniEntry {
  readonly section: string;
  readonly key: string;
  readonly value: string;
  /** Counts from 1. */
  readonly line: number;
}

/** A line that is no section, entry, comment or blank line. */
export interface IniProblem {
  readonly section: string;
  readonly key: string;
  readonly value: string;
  readonly line: number;
  readonly message: string;
}

/** Lines of a settings file and what is wrong with their form. */
export interface IniEntries {
  readonly entries: readonly IniEntry[];
  readonly problems: readonly IniProblem[];
}

const LINE_END = /\r\n|\r|\n/;
const COMMENT_OR_BLANK = /^\s*(?:[;#].*)?$/;
const SECTION = /^\s*\[([^\]]*)\]\s*(?:[;#].*)?$/;
const BYTE_ORDER_MARK = /^\uFEFF/;
const QUOTED = /^"(?:[^"\\]|\\.)*"$/;
/** First unescaped `;` or `#` follows a character other than space; `ini` would cut the value there. */
const COMMENT_WITHIN_WORD = /^(?:[^\\;#]|\\.)*(?<=\S)[;#]/;

/**
 * Reads a settings file line by line with the `ini` library. A whole text given to `ini` would lose
 * line numbers, keep only the last of duplicated keys, nest dotted sections and drop `__proto__`.
 */
export function readIni(text: string): IniEntries {
  const entries: IniEntry[] = [];
  const problems: IniProblem[] = [];
  const firstLines = new Map<string, number>();
  let section = "";
  text.replace(BYTE_ORDER_MARK, "").split(LINE_END).forEach((raw, index) => {
    if (COMMENT_OR_BLANK.test(raw)) return;
    const header = SECTION.exec(raw);
    if (header !== null) {
      section = header[1]!.trim();
      return;
    }
    const line = index + 1;
    const entry = readEntry(raw);
    const { key, value } = entry;
    const firstLine = firstLines.get(`${section}\n${key}`);
    const message = entry.message ??
      (firstLine === undefined
        ? undefined
        : `Expected one value, but line ${firstLine} already has one`);
    firstLines.set(`${section}\n${key}`, firstLine ?? line);
    if (message === undefined) entries.push({ section, key, value, line });
    else problems.push({ section, key, value, line, message });
  });
  return { entries, problems };
}

interface WrittenEntry {
  readonly key: string;
  readonly value: string;
  /** What is wrong with the form of the line. */
  readonly message?: string;
}

function readEntry(raw: string): WrittenEntry {
  const equals = raw.indexOf("=");
  const key = (equals < 0 ? raw : raw.slice(0, equals)).trim();
  const written = equals < 0 ? "" : raw.slice(equals + 1).trim();
  if (equals < 0 || key === "") {
    const message = "Expected a line `key = value`, `[section]` or `# comment`";
    return { key, value: written, message };
  }
  const message = valueProblem(written);
  if (message !== undefined) return { key, value: written, message };
  return { key, value: decodeValue(written) };
}

function valueProblem(written: string): string | undefined {
  if (written.startsWith("'")) {
    return "Expected double quotes, because single quotes are read as JSON";
  }
  if (!written.startsWith('"')) {
    return COMMENT_WITHIN_WORD.test(written)
      ? "Expected a space before a comment, or double quotes around a value with ; or #"
      : undefined;
  }
  const isString = QUOTED.test(written) && decodeValue(written) !== written;
  return isString
    ? undefined
    : "Expected a JSON string between double quotes and nothing after it";
}

function decodeValue(written: string): string {
  return String(parse(`value = ${written}`).value);
}
