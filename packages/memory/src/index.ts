export * from "./answer_memory.ts";
export * from "./head_memory.ts";
export * from "./memory_budget.ts";
export * from "./memory_limits.ts";
