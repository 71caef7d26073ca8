export * from "./choose_placement.ts";
export * from "./draw_compared.ts";
export * from "./predict_wait.ts";
export * from "./upstream_reports.ts";
export * from "./transfer_time.ts";
