export * from "./choose_upstream.ts";
export * from "./clock.ts";
export * from "./ejection.ts";
export * from "./load_hint.ts";
export * from "./slow_start.ts";
export * from "./upstream_observations.ts";
