export * from "./routing_table.ts";
