export * from "./hop_by_hop.ts";
export * from "./final_status.ts";
export * from "./body_framing.ts";
export * from "./field_count.ts";
