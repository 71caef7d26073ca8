export * from "./configuration.ts";
export * from "./daemon.ts";
