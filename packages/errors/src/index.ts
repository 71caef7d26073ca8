export * from "./platform_error.ts";
export * from "./rpc_error.ts";
