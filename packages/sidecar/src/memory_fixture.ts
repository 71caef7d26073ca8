import { MemoryBudget, type MemoryLimits } from "@tanagercove/memory";

/** Creates a memory budget of 1 MB for the bodies of each use. */
export function createMemory(limits: Partial<MemoryLimits> = {}): MemoryBudget {
  return new MemoryBudget({
    answers: { maxBufferedBytes: 1_000_000, maxAnswerBytes: 1_000_000 },
    heads: { headBytes: 16_000_000, headBytesOfUse: 8_000_000 },
    bodyBytes: 2_000_000,
    bodyBytesOfUse: 1_000_000,
    replyBytes: 1_000_000,
    ...limits,
  });
}
