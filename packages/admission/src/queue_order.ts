/** Order in which waiting requests of one class are served. */
export type QueueOrder = "newest_first" | "oldest_first";

/** Implements one queue order on the waiting requests of a class, which are listed oldest first. */
export interface QueueOrderHandler {
  /** Removes the request to serve next. */
  takeNext<T>(waiting: T[]): T | undefined;
  /** Removes the request that would be served last. */
  takeLast<T>(waiting: T[]): T | undefined;
  /** Number of waiting requests that are served before a new one. */
  countAheadOfNew(waitingCount: number): number;
}

/** Handlers of all queue orders. */
export const QUEUE_ORDERS: Readonly<Record<QueueOrder, QueueOrderHandler>> = {
  newest_first: {
    takeNext: (waiting) => waiting.pop(),
    takeLast: (waiting) => waiting.shift(),
    countAheadOfNew: () => 0,
  },
  oldest_first: {
    takeNext: (waiting) => waiting.shift(),
    takeLast: (waiting) => waiting.pop(),
    countAheadOfNew: (waitingCount) => waitingCount,
  },
};
