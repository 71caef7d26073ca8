export * from "./fetch_body.ts";
