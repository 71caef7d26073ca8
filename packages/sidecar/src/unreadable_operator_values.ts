import type { CatalogEvent } from "@tanagercove/catalog";

/** A value of the operator that is not used, and why. */
export interface UnreadableValue {
  readonly key: string;
  readonly problem: string;
}

/** Values of the operator that cannot be read, until a configuration can be read again. */
export class UnreadableOperatorValues {
  readonly #problems = new Map<string, string>();

  record(event: CatalogEvent): void {
    if (event.kind === "unreadable" && event.upstreamId === undefined) {
      this.#problems.set(event.key, event.problem);
    } else if (
      event.kind === "configuration_taken" ||
      event.kind === "configuration_ignored"
    ) {
      this.#problems.clear();
    }
  }

  list(): readonly UnreadableValue[] {
    return [...this.#problems].map(([key, problem]) => ({ key, problem }));
  }
}
