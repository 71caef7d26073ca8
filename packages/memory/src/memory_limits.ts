import { getHeapStatistics } from "node:v8";
import {
  type AnswerLimits,
  answerLimits,
  DEFAULT_MEMORY_LIMIT_BYTES,
} from "./answer_memory.ts";
import { type HeadLimits, headLimits } from "./head_memory.ts";

/** Memory of the process that is neither heap nor buffers: the program of Node.js itself, its threads and its code. */
const RUNTIME_BYTES = 56 * 1024 * 1024;

/** Largest share of the memory limit that is set aside for the heap, if the heap may grow beyond the limit. */
const MAX_HEAP_SHARE = 1 / 3;

/**
 * Share of the memory limit for what is read and no longer needed. A body arrives in chunks of up to 64 KB, which stay
 * until a collection after they have been copied; unread bytes of connections count as well.
 */
const TRANSIT_SHARE = 1 / 8;

/** An answer that grows is copied, so that for a moment both copies are there. */
const ANSWER_COPY_FACTOR = 1.5;

/** Memory for bodies below which the process could not serve, whatever its limit is. */
const MIN_BODY_BYTES = 4 * 1024 * 1024;

/** Share of the memory for bodies that either use may take, so that neither leaves nothing for the other. */
const SINGLE_USE_SHARE = 3 / 4;

/**
 * Share of the heap that one reply with routes or upstreams may have. Its text, what is parsed from it and what is
 * decoded from that are in the heap at the same time, beside the versions in force and the rest of the process.
 */
const REPLY_HEAP_SHARE = 1 / 8;

/** Limit on a reply of a process with a large heap. */
const MAX_REPLY_BYTES = 32 * 1024 * 1024;

/** What the process may take. */
export interface ProcessMemory {
  /** Memory above which the process is killed; undefined if there is no such limit. */
  readonly memoryLimitBytes?: number | undefined;
  /** Size to which the heap of V8 may grow, which holds no buffers. */
  readonly heapLimitBytes: number;
}

/** How the memory of a process is divided. */
export interface MemoryLimits {
  readonly answers: AnswerLimits;
  readonly heads: HeadLimits;
  /** Limit on request bodies of all uses together. */
  readonly bodyBytes: number;
  /** Limit on the bodies of one use. */
  readonly bodyBytesOfUse: number;
  /** Limit on one reply with routes or upstreams, of the platform or of another daemon. */
  readonly replyBytes: number;
}

/** Divides the memory of a process: what heap, runtime and answers leave is for request bodies. */
export function memoryLimits(
  { memoryLimitBytes = DEFAULT_MEMORY_LIMIT_BYTES, heapLimitBytes }:
    ProcessMemory,
): MemoryLimits {
  const answers = answerLimits(memoryLimitBytes);
  const heapBytes = Math.min(heapLimitBytes, memoryLimitBytes * MAX_HEAP_SHARE);
  const bodyBytes = Math.max(
    MIN_BODY_BYTES,
    Math.floor(
      memoryLimitBytes - RUNTIME_BYTES - heapBytes -
        memoryLimitBytes * TRANSIT_SHARE -
        answers.maxBufferedBytes * ANSWER_COPY_FACTOR,
    ),
  );
  return {
    answers,
    heads: headLimits(heapLimitBytes),
    bodyBytes,
    bodyBytesOfUse: Math.floor(bodyBytes * SINGLE_USE_SHARE),
    replyBytes: Math.min(
      MAX_REPLY_BYTES,
      Math.floor(heapLimitBytes * REPLY_HEAP_SHARE),
    ),
  };
}

/** Size to which the heap of this process may grow. */
export function heapLimitBytes(): number {
  return getHeapStatistics().heap_size_limit;
}
