/** Formats rows as a table with aligned columns; the first row is the header. */
export function formatTable(rows: readonly (readonly string[])[]): string {
  const columns = Math.max(...rows.map((row) => row.length));
  const widths = Array.from(
    { length: columns },
    (_, column) => Math.max(...rows.map((row) => row[column]?.length ?? 0)),
  );
  const format = (row: readonly string[]) =>
    widths.map((width, column) => (row[column] ?? "").padEnd(width))
      .join("  ").trimEnd();
  const separator = widths.map((width) => "-".repeat(width)).join("  ");
  const [header = [], ...body] = rows;
  return [format(header), separator, ...body.map(format)].join("\n");
}
