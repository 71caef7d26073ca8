import type { ListProblem, PlatformKey } from "@tanagercove/types";

/** One `KEY = VALUE` line of a list. */
export interface Entry {
  readonly key: string;
  readonly value: string;
  readonly line: number;
}

/** Entries of a list, and the problems found in its lines. */
export interface ParsedEntries {
  readonly entries: readonly Entry[];
  readonly problems: readonly ListProblem[];
}

const IDENTIFIER = /^[a-z0-9][a-z0-9_.-]{0,62}$/;

/** Whether a word is a valid name of a customer, plan, service, VM, zone or region. */
export function isIdentifier(word: string): boolean {
  return IDENTIFIER.test(word);
}

/** Parses a list into entries; blank lines and lines that start with `#` are skipped. */
export function parseEntries(list: PlatformKey, text: string): ParsedEntries {
  const entries: Entry[] = [];
  const problems: ListProblem[] = [];
  const firstLineByKey = new Map<string, number>();
  text.split("\n").forEach((raw, index) => {
    const line = index + 1;
    const content = raw.trim();
    if (content === "" || content.startsWith("#")) return;
    const report = (message: string) =>
      problems.push({ location: { list, line }, message });
    const equals = content.indexOf("=");
    if (equals < 0) {
      report(`Line has no "=": "${content.slice(0, 80)}"`);
      return;
    }
    const key = content.slice(0, equals).trim();
    const value = content.slice(equals + 1).trim();
    if (!isIdentifier(key)) {
      report(
        `"${
          key.slice(0, 80)
        }" is no identifier: expected [a-z0-9][a-z0-9_.-]{0,62}`,
      );
      return;
    }
    const firstLine = firstLineByKey.get(key);
    if (firstLine !== undefined) {
      report(`"${key}" stands twice, first in line ${firstLine}`);
      return;
    }
    firstLineByKey.set(key, line);
    entries.push({ key, value, line });
  });
  return { entries, problems };
}
