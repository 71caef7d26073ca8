export * from "./admission_queue.ts";
export * from "./clock.ts";
export * from "./decisions.ts";
export * from "./queue_order.ts";
