export * from "./fake_network.ts";
export * from "./fake_platform.ts";
export * from "./fault_case.ts";
export * from "./fault_matrix.ts";
export * from "./open_mesh.ts";
export * from "./request_fault_case.ts";
export * from "./virtual_clock.ts";
export * from "./wait_for.ts";
