export * from "./fetch_body.ts";
export * from "./limit_head_bytes.ts";
