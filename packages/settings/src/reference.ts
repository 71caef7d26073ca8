import type { KeyDefinition } from "./key_kinds.ts";
import { SECTIONS } from "./key_table.ts";

/** Writes an annotated settings file: required keys are set, the others stand as comments with their defaults. */
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

/** Writes the reference of all keys as Markdown tables, one for each section. */
export function settingsReference(): string {
  return Object.entries(SECTIONS).map(([section, definitions]) => {
    const rows = Object.entries(definitions).map(([key, definition]) => [
      `\`${key}\``,
      absenceOf(definition),
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
  if (presence.when === "required") {
    return [...lines, `${key} = ${example}`].join("\n");
  }
  if (presence.when === "default") {
    return [...lines, `# ${key} = ${presence.text}`.trimEnd()].join("\n");
  }
  const value = presence.when === "optional" ? example : "";
  return [
    ...lines,
    `# Default: ${presence.meaning}.`,
    `# ${key} = ${value}`.trimEnd(),
  ].join("\n");
}

function absenceOf({ presence }: KeyDefinition<unknown>): string {
  if (presence.when === "required") return "required";
  if (presence.when !== "default") return presence.meaning;
  return presence.text === "" ? "empty" : `\`${presence.text}\``;
}

/** Patterns and choices are code; a `|` would end the table's cell. */
function formatAccepted(accepted: string): string {
  return /[|[]/.test(accepted)
    ? `\`${accepted.replaceAll("|", "\\|")}\``
    : accepted;
}

/** Pads cells as `deno fmt` does, so that the committed page stays unchanged by it. */
function formatTable(rows: readonly (readonly string[])[]): string {
  const widths = rows[0]!.map((_, column) =>
    Math.max(...rows.map((row) => row[column]!.length))
  );
  const line = (cells: readonly string[]) =>
    `| ${cells.map((cell, i) => cell.padEnd(widths[i]!)).join(" | ")} |\n`;
  const [head, ...body] = rows;
  return line(head!) + line(widths.map((width) => "-".repeat(width))) +
    body.map(line).join("");
}
