export * from "./concurrency_limit.ts";
export * from "./decode_host_load.ts";
export * from "./learned_capacity.ts";
export * from "./usual_times.ts";
export * from "./work_rate.ts";
