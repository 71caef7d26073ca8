export * from "./content_hash.ts";
export * from "./delta.ts";
export * from "./snapshot_store.ts";
