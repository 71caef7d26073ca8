export * from "./routing_table.ts";
export * from "./route_index.ts";
export * from "./target_shares.ts";
