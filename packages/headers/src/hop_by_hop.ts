const HOP_BY_HOP: ReadonlySet<string> = new Set([
  "connection",
  "keep-alive",
  "proxy-connection",
  "proxy-authenticate",
  "proxy-authorization",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "expect",
]);

const NO_OPTIONS: ReadonlySet<string> = new Set();

/** Whether a field, named in lower case, applies to a single connection only. */
export function isHopByHop(name: string): boolean {
  return HOP_BY_HOP.has(name);
}

/**
 * Options of a Connection header in lower case, such as field names and `close`. `keep-alive` and `host` are left out;
 * `host` is passed on even if a sender lists it.
 */
export function connectionOptions(value: string): ReadonlySet<string> {
  if (value === "" || value === ",keep-alive") return NO_OPTIONS;
  const options = new Set(
    value.split(",").map((option) => option.trim().toLowerCase()),
  );
  options.delete("");
  options.delete("keep-alive");
  options.delete("host");
  return options;
}

/** Removes the fields that the Connection header lists. */
export function removeNominatedFields(
  fields: string[],
  nominated: ReadonlySet<string>,
): string[] {
  return fields.filter((_, index) =>
    !nominated.has(fields[index - index % 2]!.toLowerCase())
  );
}
