export * from "./check_configuration.ts";
export * from "./check_fleet.ts";
export * from "./compare_configurations.ts";
export * from "./finding.ts";
