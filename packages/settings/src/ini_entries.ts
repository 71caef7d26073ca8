import { parse } from "ini";

/** One `key = value` line of a settings file. */
export interface IniEntry {
  readonly section: string;
  readonly key: string;
  readonly value: string;
  /** Counts from 1. */
  readonly line: number;
}

/** A line that cannot be read: of no known form, with a malformed value, or with a key that is already set. */
export interface IniProblem {
  readonly section: string;
  readonly key: string;
  readonly value: string;
  readonly line: number;
  readonly message: string;
}

/** The readable entries of a settings file, and its unreadable lines. */
export interface IniEntries {
  readonly entries: readonly IniEntry[];
  readonly problems: readonly IniProblem[];
}

const LINE_END = /\r\n|\r|\n/;
const COMMENT_OR_BLANK = /^\s*(?:[;#].*)?$/;
const SECTION = /^\s*\[([^\]]*)\]\s*(?:[;#].*)?$/;
const BYTE_ORDER_MARK = /^\uFEFF/;
const QUOTED = /^"(?:[^"\\]|\\.)*"$/;
/** Matches if the first unescaped `;` or `#` directly follows a non-space character; `ini` would cut the value there. */
const COMMENT_WITHOUT_SPACE = /^(?:[^\\;#]|\\.)*(?<=\S)[;#]/;

/**
 * Reads a settings file line by line with the `ini` library. Parsing the whole text at once would lose
 * line numbers, keep only the last of several equal keys, nest dotted sections and drop `__proto__`.
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

interface RawEntry {
  readonly key: string;
  readonly value: string;
  /** Describes the malformed line; undefined if it is well-formed. */
  readonly message?: string;
}

function readEntry(raw: string): RawEntry {
  const equals = raw.indexOf("=");
  const key = (equals < 0 ? raw : raw.slice(0, equals)).trim();
  const rawValue = equals < 0 ? "" : raw.slice(equals + 1).trim();
  if (equals < 0 || key === "") {
    const message = "Expected a line `key = value`, `[section]` or `# comment`";
    return { key, value: rawValue, message };
  }
  const message = findValueProblem(rawValue);
  if (message !== undefined) return { key, value: rawValue, message };
  return { key, value: decodeValue(rawValue) };
}

function findValueProblem(rawValue: string): string | undefined {
  if (rawValue.startsWith("'")) {
    return "Expected double quotes, because single quotes are read as JSON";
  }
  if (!rawValue.startsWith('"')) {
    return COMMENT_WITHOUT_SPACE.test(rawValue)
      ? "Expected a space before a comment, or double quotes around a value with ; or #"
      : undefined;
  }
  const isString = QUOTED.test(rawValue) && decodeValue(rawValue) !== rawValue;
  return isString
    ? undefined
    : "Expected a JSON string between double quotes and nothing after it";
}

function decodeValue(rawValue: string): string {
  return String(parse(`value = ${rawValue}`).value);
}
