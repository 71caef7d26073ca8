export * from "./acceptable_wait.ts";
export * from "./choose_placement.ts";
export * from "./upstream_reports.ts";
