export * from "./socket_byte_counter.ts";
