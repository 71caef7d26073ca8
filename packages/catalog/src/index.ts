export * from "./catalog.ts";
export * from "./source_port.ts";
export * from "./catalog_sync.ts";
