import type { KeyDefinition } from "./key_kinds.ts";
import { SECTIONS } from "./key_table.ts";

/**
 * Formats an annotated settings file. Required keys are set to an example. The others are commented out: with
 * the default value, with an example for an optional key, or without a value for a derived key.
 */
export function exampleSettings(): string {
  const sections = Object.entries(SECTIONS).map(([section, definitions]) =>
    [
      `[${section}]`,
      ...Object.entries(definitions).map(([key, definition]) =>
        exampleEntry(key, definition)
      ),
    ].join("\n")
  );
  return `${sections.join("\n\n")}\n`;
}

/** Formats the reference of all keys as Markdown tables, one for each section. */
export function settingsReference(): string {
  return Object.entries(SECTIONS).map(([section, definitions]) => {
    const rows = Object.entries(definitions).map(([key, definition]) => [
      `\`${key}\``,
      formatDefault(definition),
      formatAccepted(definition.accepted),
      definition.doc,
    ]);
    const table = formatTable([
      ["Key", "Default", "Accepted", "Meaning"],
      ...rows,
    ]);
    return `## [${section}]\n\n${table}`;
  }).join("\n");
}

function exampleEntry(key: string, definition: KeyDefinition<unknown>): string {
  const { doc, accepted, presence, example } = definition;
  const lines = [`# ${doc}`, `# Accepted: ${accepted}.`];
  if (presence.kind === "required") {
    return [...lines, `${key} = ${example}`].join("\n");
  }
  if (presence.kind === "default") {
    return [...lines, `# ${key} = ${presence.text}`.trimEnd()].join("\n");
  }
  const value = presence.kind === "optional" ? example : "";
  return [
    ...lines,
    `# Default: ${presence.meaning}.`,
    `# ${key} = ${value}`.trimEnd(),
  ].join("\n");
}

function formatDefault({ presence }: KeyDefinition<unknown>): string {
  if (presence.kind === "required") return "required";
  if (presence.kind !== "default") return presence.meaning;
  return presence.text === "" ? "empty" : `\`${presence.text}\``;
}

/**
 * Formats a text with `|` or `[`, such as a choice or a pattern, as code. A `|` is escaped, since it would end
 * the table cell.
 */
function formatAccepted(accepted: string): string {
  return /[|[]/.test(accepted)
    ? `\`${accepted.replaceAll("|", "\\|")}\``
    : accepted;
}

/** Pads cells as `deno fmt` does, so that the formatter leaves the committed page unchanged. */
function formatTable(rows: readonly (readonly string[])[]): string {
  const widths = rows[0]!.map((_, column) =>
    Math.max(...rows.map((row) => row[column]!.length))
  );
  const formatRow = (cells: readonly string[]) =>
    `| ${cells.map((cell, i) => cell.padEnd(widths[i]!)).join(" | ")} |\n`;
  const [head, ...body] = rows;
  return formatRow(head!) +
    formatRow(widths.map((width) => "-".repeat(width))) +
    body.map(formatRow).join("");
}
