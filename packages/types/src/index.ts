export * from "./documents.ts";
export * from "./requests.ts";
export * from "./vms.ts";
