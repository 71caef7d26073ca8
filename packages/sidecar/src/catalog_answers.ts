import type { Catalog } from "@tanagercove/catalog";

/** Returns the serialized catalog for a daemon that holds this version of the configuration. */
export type SerializeCatalog = (knownVersion: number) => Buffer;

/**
 * Serializes a catalog once for all daemons that read the same state of it. They
 * share the buffer: a catalog can be 1 MB, and the answers to daemons on narrow
 * links stay in memory until they have been sent.
 */
export function createCatalogAnswers(catalog: Catalog): SerializeCatalog {
  let serializedState = "";
  const answers = new Map<"configuration" | "upstreams", Buffer>();

  return (knownVersion) => {
    const { position, revision, version } = catalog;
    const state = `${position} ${revision} ${version}`;
    if (state !== serializedState) answers.clear();
    serializedState = state;
    const content = version > knownVersion ? "configuration" : "upstreams";
    const serialized = answers.get(content) ??
      Buffer.from(JSON.stringify(catalog.snapshot(knownVersion)));
    answers.set(content, serialized);
    return serialized;
  };
}
