export * from "./proxy_server.ts";
