export * from "./catalog.ts";
export * from "./source_port.ts";
export * from "./catalog_transfer.ts";
export * from "./catalog_sync.ts";
export * from "./catalog_feed.ts";
export * from "./configuration_delta.ts";
export * from "./configuration_update.ts";
export * from "./choose_reader.ts";
