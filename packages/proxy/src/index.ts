export * from "./classify_exchange.ts";
export type { Division } from "./divisions.ts";
export type {
  AddressRange,
  IdentityKind,
  IdentityOptions,
} from "./identity.ts";
export * from "./ports.ts";
export * from "./proxy.ts";
export * from "./refusals.ts";
export type { Percentiles, RequestCounts } from "./request_counters.ts";
export type { UpstreamHealth, UpstreamState } from "./upstream_health.ts";
