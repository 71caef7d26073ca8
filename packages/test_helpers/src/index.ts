export * from "./wait_for.ts";
