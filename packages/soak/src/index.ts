export * from "./callers.ts";
export * from "./command.ts";
export * from "./plan.ts";
export * from "./ports.ts";
export * from "./promises.ts";
export * from "./run_soak.ts";
export * from "./soak_fleet.ts";
export * from "./upstream_notices.ts";
