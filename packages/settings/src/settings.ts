import { Result } from "true-myth";
import { type IniEntry, readIni } from "./ini_entries.ts";
import type { KeyDefinition } from "./key_kinds.ts";
import { type SectionName, SECTIONS, type Settings } from "./key_table.ts";
import { editDistance, nearest } from "./nearest.ts";
import { findConflicts } from "./conflicts.ts";
import { findKeyProblems } from "./key_problems.ts";

/** One wrong or missing key, or one unreadable line, in a settings file. */
export interface SettingsProblem {
  readonly section: string;
  readonly key: string;
  /** Value of the key, which may be its default; empty if there is none, `(hidden)` for secrets. */
  readonly value: string;
  /** Counts from 1; undefined for an absent key and for a value that contradicts another key. */
  readonly line?: number;
  /** Says what was expected, such as the accepted range. */
  readonly message: string;
}

/**
 * Longer names and values are truncated in messages. Names are also truncated before they are compared with known
 * names.
 */
const MAX_SHOWN_LENGTH = 80;
/** Added to the edit distance of a known key in another section when the nearest key is chosen. */
const OTHER_SECTION_PENALTY = 3;
/** A key within this edit distance of a secret key counts as a misspelling of it, so its value is hidden. */
const MAX_SECRET_KEY_DISTANCE = 4;
const SECRET_KEYS = Object.values(SECTIONS)
  .flatMap((definitions) => Object.entries(definitions))
  .filter(([, definition]) => definition.secret === true)
  .map(([key]) => key);

/**
 * TLS files named by the settings, and the VM and address that the certificate must name; a value that is not
 * set is empty.
 */
export interface NamedKeyFiles {
  readonly vmId: string;
  readonly address: string;
  readonly caFile: string;
  readonly certificateFile: string;
  readonly keyFile: string;
}

/** A TLS file that is not usable. */
export interface KeyFileProblem {
  readonly file: "caFile" | "certificateFile" | "keyFile";
  readonly message: string;
}

/** Options of `parseSettings`. */
export interface ParseSettingsOptions {
  /** Checks the contents of the TLS files if `tls` is not `off`; by default they are not read. */
  readonly checkKeyFiles?: (files: NamedKeyFiles) => readonly KeyFileProblem[];
}

/**
 * Parses a settings file and reports all problems at once: those with a line number in the order of the file,
 * then the others. Contradictions between keys are reported only if every key is valid in itself. TLS files
 * that are missing or not usable are reported also if other keys are invalid.
 */
export function parseSettings(
  text: string,
  { checkKeyFiles = () => [] }: ParseSettingsOptions = {},
): Result<Settings, readonly SettingsProblem[]> {
  const { entries, problems: malformed } = readIni(text);
  const problems: SettingsProblem[] = [...malformed];
  for (const entry of entries) {
    const message = describeUnknown(entry);
    if (message !== undefined) problems.push({ ...entry, message });
  }
  const unreadable = new Set(
    malformed.map(({ section, key }) => `${section}.${key}`),
  );
  const settings: Record<string, Record<string, unknown>> = {};
  for (const [section, definitions] of Object.entries(SECTIONS)) {
    const values: Record<string, unknown> = {};
    for (const [key, definition] of Object.entries(definitions)) {
      const entry = entries.find((entry) =>
        entry.section === section && entry.key === key
      );
      if (entry === undefined && unreadable.has(`${section}.${key}`)) continue;
      const value = resolveValue({ entries, section, key, definition });
      if (value.isOk) {
        values[camelCase(key)] = value.value;
        continue;
      }
      // Not reported, since the key from which this value is derived is reported itself.
      if (entry === undefined && definition.presence.kind === "derived") {
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

/** Formats a problem as one line: `[daemon] caller_port = 99999 (line 7): Expected ...`. */
export function formatSettingsProblem(problem: SettingsProblem): string {
  const { section, key, value, line, message } = problem;
  const written = value === "" ? key : `${key} = ${shorten(value)}`;
  const lineSuffix = line === undefined ? "" : ` (line ${line})`;
  return `[${shorten(section)}] ${written}${lineSuffix}: ${message}`;
}

interface Lookup {
  readonly entries: readonly IniEntry[];
  readonly section: string;
  readonly key: string;
  readonly definition: KeyDefinition<unknown>;
}

function resolveValue(lookup: Lookup): Result<unknown, string> {
  const { definition } = lookup;
  const text = resolveText(lookup);
  if (text === undefined) {
    return definition.presence.kind === "optional"
      ? Result.ok(undefined)
      : Result.err(`Missing; expected ${definition.accepted}`);
  }
  const value = definition.parse(text);
  return value === undefined
    ? Result.err(`Expected ${definition.accepted}`)
    : Result.ok(value);
}

/** Returns the text of a key from the file, else its default, else undefined. */
function resolveText(lookup: Lookup): string | undefined {
  const { entries, section, key, definition: { presence } } = lookup;
  const entry = entries.find((entry) =>
    entry.section === section && entry.key === key
  );
  if (entry !== undefined) return entry.value;
  if (presence.kind === "default") return presence.text;
  if (presence.kind !== "derived") return undefined;
  const definition = SECTIONS[section as SectionName][presence.from]!;
  const source = resolveText({ ...lookup, key: presence.from, definition });
  return source === undefined ? undefined : presence.derive(source);
}

function describeUnknown({ section, key }: IniEntry): string | undefined {
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
      (candidate.section === section ? 0 : OTHER_SECTION_PENALTY),
  )!;
  return `Unknown key; the nearest known one is [${known.section}] ${known.key}`;
}

/** Hides the value of a secret key, also if the key is misspelt. */
function hideSecret(problem: SettingsProblem): SettingsProblem {
  const isSecret = SECRET_KEYS.some((key) =>
    editDistance(shorten(problem.key), key) <= MAX_SECRET_KEY_DISTANCE
  );
  return isSecret && problem.value !== ""
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
