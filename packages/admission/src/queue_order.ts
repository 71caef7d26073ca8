/** Order in which waiting requests of one class are served. */
export type QueueOrder = "newest_first" | "oldest_first";

/** How one order treats the waiting requests of a class, which are listed oldest first. */
export interface QueueOrderHandler {
  /** Removes the request to serve next. */
  takeNext<T>(waiting: T[]): T | undefined;
  /** Removes the request that would be served last. */
  takeLast<T>(waiting: T[]): T | undefined;
  /** Number of waiting requests that a new one has to wait for. */
  aheadOfNew(waitingCount: number): number;
}

/** Handlers of all queue orders. */
export const QUEUE_ORDERS: Readonly<Record<QueueOrder, QueueOrderHandler>> = {
  newest_first: {
    takeNext: (waiting) => waiting.pop(),
    takeLast: (waiting) => waiting.shift(),
    aheadOfNew: () => 0,
  },
  oldest_first: {
    takeNext: (waiting) => waiting.shift(),
    takeLast: (waiting) => waiting.pop(),
    aheadOfNew: (waitingCount) => waitingCount,
  },
};
