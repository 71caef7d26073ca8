export * from "./fleet.ts";
export * from "./platform_stand_in.ts";
export * from "./upstream_stand_in.ts";
