export * from "./documents.ts";
export * from "./requests.ts";
export * from "./vms.ts";
export * from "./routes.ts";
export * from "./upstream_entry.ts";
export * from "./endpoint.ts";
