export * from "./channel_client.ts";
export * from "./channel_server.ts";
export * from "./channel_message.ts";
