export * from "./choose_placement.ts";
export * from "./upstream_reports.ts";
