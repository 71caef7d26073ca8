export * from "./platform_reader.ts";
