import type {
  CallerLimits,
  Route,
  RouteConfiguration,
  ServiceDefinition,
} from "@tanagercove/types";

/** How an entry differs from the version in force. */
export type ChangeKind = "added" | "removed" | "changed";

/** One route, service or limit that differs from the version in force. */
export interface ConfigurationDifference {
  readonly kind: ChangeKind;
  /** What it is, such as `route browse`. */
  readonly entry: string;
  /** Fields that differ, each with its former and its new value as JSON; empty unless the entry is changed. */
  readonly fields: readonly FieldDifference[];
}

/** A field that differs. */
export interface FieldDifference {
  readonly field: string;
  readonly former: string;
  readonly next: string;
}

/** Lists what differs between the version in force and the next one, in the order of the next one. */
export function compareConfigurations(
  inForce: RouteConfiguration,
  next: RouteConfiguration,
): readonly ConfigurationDifference[] {
  return [
    ...compareEntries<Route>("route", {
      former: inForce.routes,
      next: next.routes,
      keyOf: ({ host, prefix }) => host + prefix,
    }),
    ...compareEntries<ServiceDefinition>("service", {
      former: inForce.services,
      next: next.services,
      keyOf: ({ name }) => name,
    }),
    ...compareEntries<CallerLimits & { readonly name: string }>("limits", {
      former: [{ name: "of callers", ...inForce.limits }],
      next: [{ name: "of callers", ...next.limits }],
      keyOf: ({ name }) => name,
    }),
  ];
}

function compareEntries<T extends { readonly name: string }>(
  what: string,
  { former, next, keyOf }: {
    readonly former: readonly T[];
    readonly next: readonly T[];
    readonly keyOf: (entry: T) => string;
  },
): readonly ConfigurationDifference[] {
  const remaining = new Map(former.map((entry) => [keyOf(entry), entry]));
  const differences: ConfigurationDifference[] = [];
  for (const entry of next) {
    const key = keyOf(entry);
    const before = remaining.get(key);
    remaining.delete(key);
    if (before === undefined) {
      differences.push({
        kind: "added",
        entry: `${what} ${entry.name}`,
        fields: [],
      });
      continue;
    }
    const fields = compareFields(before, entry);
    if (fields.length === 0) continue;
    differences.push({
      kind: "changed",
      entry: `${what} ${entry.name}`,
      fields,
    });
  }
  for (const { name } of remaining.values()) {
    differences.push({ kind: "removed", entry: `${what} ${name}`, fields: [] });
  }
  return differences;
}

function compareFields(
  former: object,
  next: object,
): readonly FieldDifference[] {
  const formerFields = former as Readonly<Record<string, unknown>>;
  const nextFields = next as Readonly<Record<string, unknown>>;
  const names = new Set([
    ...Object.keys(formerFields),
    ...Object.keys(nextFields),
  ]);
  const differences: FieldDifference[] = [];
  for (const field of names) {
    const before = JSON.stringify(formerFields[field]) ?? "none";
    const after = JSON.stringify(nextFields[field]) ?? "none";
    if (before !== after) {
      differences.push({ field, former: before, next: after });
    }
  }
  return differences;
}
