export { MAX_BODY_BYTES } from "./body.ts";
export * from "./rpc_client.ts";
export * from "./rpc_methods.ts";
export * from "./rpc_server.ts";
