/** Whose requests have heads that take memory: those of this VM's callers, or those that other daemons forward. */
export type HeadUse = "caller_heads" | "forwarded_heads";

/** Heap for heads. */
export interface HeadLimits {
  /** Limit on the heads of all uses together. */
  readonly headBytes: number;
  /** Limit on the heads of one use. */
  readonly headBytesOfUse: number;
}

/** Share of the heap for requests in flight and their heads; the rest holds the program, the catalog and one reply. */
const HEAD_HEAP_SHARE = 1 / 4;

/** Share of that which either use may take, so that neither leaves nothing for the other. */
const SINGLE_USE_SHARE = 3 / 4;

/** Divides the heap of a process for heads. */
export function headLimits(heapLimitBytes: number): HeadLimits {
  const headBytes = Math.floor(heapLimitBytes * HEAD_HEAP_SHARE);
  return {
    headBytes,
    headBytesOfUse: Math.floor(headBytes * SINGLE_USE_SHARE),
  };
}

/** Heap that a request takes beside its head: its records, timers and streams. */
const REQUEST_BYTES = 8 * 1024;

/** Heap that a field takes beside its characters: two strings, and their places in the lists that hold them. */
const FIELD_BYTES = 100;

/** The characters of a head are in the heap as received and as sent on. */
const COPIES = 2;

/** The parts of a request's head whose size its sender chooses. */
export interface MeasuredHead {
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
}

/** Estimates the heap that a request with this head takes while it waits and runs. */
export function requestHeapBytes({ path, headers }: MeasuredHead): number {
  let characters = path.length;
  for (const text of headers) characters += text.length;
  return REQUEST_BYTES + headers.length / 2 * FIELD_BYTES + characters * COPIES;
}

/** Counts the heap that requests in flight take; one that does not fit is refused before anything of it runs. */
export class HeadMemory {
  readonly #limits: HeadLimits;
  readonly #usedBytes: Record<HeadUse, number> = {
    caller_heads: 0,
    forwarded_heads: 0,
  };
  readonly #refusals: Record<HeadUse, number> = {
    caller_heads: 0,
    forwarded_heads: 0,
  };

  constructor(limits: HeadLimits) {
    this.#limits = limits;
  }

  usedBytes(use: HeadUse): number {
    return this.#usedBytes[use];
  }

  /** Requests of a use that were refused so far. */
  refusals(use: HeadUse): number {
    return this.#refusals[use];
  }

  /** Takes heap for a request; returns the function that gives it back, or undefined if there is no room. */
  hold(use: HeadUse, sizeBytes: number): (() => void) | undefined {
    const { headBytes, headBytesOfUse } = this.#limits;
    const { caller_heads, forwarded_heads } = this.#usedBytes;
    const hasRoom = caller_heads + forwarded_heads + sizeBytes <= headBytes &&
      this.#usedBytes[use] + sizeBytes <= headBytesOfUse;
    if (!hasRoom) {
      this.#refusals[use] += 1;
      return undefined;
    }
    this.#usedBytes[use] += sizeBytes;
    let isHeld = true;
    return () => {
      if (!isHeld) return;
      isHeld = false;
      this.#usedBytes[use] -= sizeBytes;
    };
  }
}
