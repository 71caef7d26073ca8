export * from "./virtual_clock.ts";
export * from "./wait_for.ts";
