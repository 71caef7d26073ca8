/** Copies a plain value with its field names in snake_case, as they are on the wire. */
export function withWireNames(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(withWireNames);
  if (typeof value !== "object" || value === null) return value;
  const entries = Object.entries(value).map(([name, field]) => [
    name.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`),
    withWireNames(field),
  ]);
  return Object.fromEntries(entries);
}
