export * from "./admission_queue.ts";
export * from "./clock.ts";
export * from "./decide_silence.ts";
export * from "./decisions.ts";
export * from "./queue_order.ts";
export * from "./upstream_watch.ts";
