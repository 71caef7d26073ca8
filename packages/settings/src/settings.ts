import { Result } from "true-myth";
import { type IniEntry, readIni } from "./ini_entries.ts";
import type { KeyDefinition } from "./key_kinds.ts";
import { type SectionName, SECTIONS, type Settings } from "./key_table.ts";
import { editDistance, nearest } from "./nearest.ts";
import { findConflicts } from "./conflicts.ts";
import { findKeyProblems } from "./key_problems.ts";

/** One wrong or missing key in a settings file. */
export interface SettingsProblem {
  readonly section: string;
  readonly key: string;
  /** As written, empty when absent; `(hidden)` for secrets. */
  readonly value: string;
  /** Counts from 1; undefined for an absent key. */
  readonly line?: number;
  /** Names the accepted range. */
  readonly message: string;
}

/** Longer keys and values are cut in messages and comparisons. */
const MAX_SHOWN_LENGTH = 80;
/** A known key in another section must be this much closer to be suggested. */
const OTHER_SECTION_DISTANCE = 3;
/** Values of keys this close to a secret key's name are hidden. */
const SECRET_KEY_DISTANCE = 4;
const SECRET_KEYS = Object.values(SECTIONS)
  .flatMap((definitions) => Object.entries(definitions))
  .filter(([, definition]) => definition.secret === true)
  .map(([key]) => key);

/** What a check of the files that settings name needs to know. */
export interface NamedKeyFiles {
  readonly vmId: string;
  readonly address: string;
  readonly caFile: string;
  readonly certificateFile: string;
  readonly keyFile: string;
}

/** One of the key files is not usable. */
export interface KeyFileProblem {
  readonly file: "caFile" | "certificateFile" | "keyFile";
  readonly message: string;
}

/** Options of `parseSettings`. */
export interface ParseSettingsOptions {
  /** Checks the contents of the key files where `tls` is not `off`; they are not read by default. */
  readonly checkKeyFiles?: (files: NamedKeyFiles) => readonly KeyFileProblem[];
}

/** Parses a settings file and reports all problems at once, in the order of the file. */
export function parseSettings(
  text: string,
  { checkKeyFiles = () => [] }: ParseSettingsOptions = {},
): Result<Settings, readonly SettingsProblem[]> {
  const { entries, problems: malformed } = readIni(text);
  const problems: SettingsProblem[] = [...malformed];
  for (const entry of entries) {
    const message = unknownMessage(entry);
    if (message !== undefined) problems.push({ ...entry, message });
  }
  const attempted = new Set(
    malformed.map(({ section, key }) => `${section}.${key}`),
  );
  const settings: Record<string, Record<string, unknown>> = {};
  for (const [section, definitions] of Object.entries(SECTIONS)) {
    const values: Record<string, unknown> = {};
    for (const [key, definition] of Object.entries(definitions)) {
      const entry = entries.find((entry) =>
        entry.section === section && entry.key === key
      );
      if (entry === undefined && attempted.has(`${section}.${key}`)) continue;
      const value = valueOf({ entries, section, key, definition });
      if (value.isOk) {
        values[camelCase(key)] = value.value;
        continue;
      }
      // The key that a derived value comes from is reported already.
      if (entry === undefined && definition.presence.when === "derived") {
        continue;
      }
      problems.push({
        section,
        key,
        value: entry?.value ?? "",
        line: entry?.line,
        message: value.error,
      });
    }
    settings[section] = values;
  }
  const parsed = settings as unknown as Settings;
  const keyProblems = findKeyProblems(parsed, checkKeyFiles)
    .filter(({ section, key }) =>
      !problems.some((other) => other.section === section && other.key === key)
    )
    .map((problem) => ({
      ...problem,
      line: entries.find(({ section, key }) =>
        section === problem.section && key === problem.key
      )?.line,
    }));
  if (problems.length === 0) {
    problems.push(...findConflicts(parsed));
  }
  problems.push(...keyProblems);
  return problems.length === 0
    ? Result.ok(parsed)
    : Result.err(inFileOrder(problems.map(hideSecret)));
}

/** Writes a problem as one line: `[daemon] caller_port = 99999 (line 7): Expected ...`. */
export function formatSettingsProblem(problem: SettingsProblem): string {
  const { section, key, value, line, message } = problem;
  const written = value === "" ? key : `${key} = ${shorten(value)}`;
  const place = line === undefined ? "" : ` (line ${line})`;
  return `[${shorten(section)}] ${written}${place}: ${message}`;
}

interface Lookup {
  readonly entries: readonly IniEntry[];
  readonly section: string;
  readonly key: string;
  readonly definition: KeyDefinition<unknown>;
}

function valueOf(lookup: Lookup): Result<unknown, string> {
  const { definition } = lookup;
  const text = textOf(lookup);
  if (text === undefined) {
    return definition.presence.when === "optional"
      ? Result.ok(undefined)
      : Result.err(`Missing; expected ${definition.accepted}`);
  }
  const value = definition.parse(text);
  return value === undefined
    ? Result.err(`Expected ${definition.accepted}`)
    : Result.ok(value);
}

/** Text of a key from the file, its default, or undefined. */
function textOf(lookup: Lookup): string | undefined {
  const { entries, section, key, definition: { presence } } = lookup;
  const entry = entries.find((entry) =>
    entry.section === section && entry.key === key
  );
  if (entry !== undefined) return entry.value;
  if (presence.when === "default") return presence.text;
  if (presence.when !== "derived") return undefined;
  const definition = SECTIONS[section as SectionName][presence.from]!;
  const source = textOf({ ...lookup, key: presence.from, definition });
  return source === undefined ? undefined : presence.derive(source);
}

function unknownMessage({ section, key }: IniEntry): string | undefined {
  const definitions = Object.hasOwn(SECTIONS, section)
    ? SECTIONS[section as SectionName]
    : undefined;
  if (definitions === undefined) {
    const known = nearest(
      Object.keys(SECTIONS),
      (name) => editDistance(shorten(section), name),
    );
    return `Unknown section; the nearest known one is [${known}]`;
  }
  if (Object.hasOwn(definitions, key)) return undefined;
  const known = nearest(
    Object.entries(SECTIONS).flatMap(([name, definitions]) =>
      Object.keys(definitions).map((key) => ({ section: name, key }))
    ),
    (candidate) =>
      editDistance(shorten(key), candidate.key) +
      (candidate.section === section ? 0 : OTHER_SECTION_DISTANCE),
  )!;
  return `Unknown key; the nearest known one is [${known.section}] ${known.key}`;
}

/** A misspelt secret key still has a secret for its value. */
function hideSecret(problem: SettingsProblem): SettingsProblem {
  const secret = SECRET_KEYS.some((key) =>
    editDistance(shorten(problem.key), key) <= SECRET_KEY_DISTANCE
  );
  return secret && problem.value !== ""
    ? { ...problem, value: "(hidden)" }
    : problem;
}

function inFileOrder(
  problems: readonly SettingsProblem[],
): readonly SettingsProblem[] {
  return [...problems].sort((a, b) =>
    (a.line ?? Infinity) - (b.line ?? Infinity) || 0
  );
}

function shorten(text: string): string {
  return text.length <= MAX_SHOWN_LENGTH
    ? text
    : `${text.slice(0, MAX_SHOWN_LENGTH)}...`;
}

function camelCase(key: string): string {
  return key.replace(/_(.)/g, (_, letter: string) => letter.toUpperCase());
}
