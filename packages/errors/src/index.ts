export * from "./format_error.ts";
export * from "./listen_error.ts";
export * from "./platform_error.ts";
export * from "./rpc_error.ts";
