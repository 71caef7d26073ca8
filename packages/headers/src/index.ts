export * from "./hop_by_hop.ts";
