export * from "./platform_port.ts";
export * from "./http_platform.ts";
