export * from "./channel_client.ts";
export * from "./channel_server.ts";
export * from "./channel_message.ts";
export * from "./body_grants.ts";
export * from "./clock.ts";
