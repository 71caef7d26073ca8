export * from "./fake_network.ts";
export * from "./fake_platform.ts";
export * from "./fault_matrix.ts";
export * from "./virtual_clock.ts";
export * from "./wait_for.ts";
