/** Memory limit of the process if the settings name none. */
export const DEFAULT_MEMORY_LIMIT_BYTES = 512 * 1024 * 1024;

/**
 * Share of the memory limit that buffered answers may take together. An answer that grows is copied, so they may need
 * up to one and a half times as much; with a limit of 178 MB this leaves more than 140 MB for everything else.
 */
const BUFFERED_SHARE = 1 / 8;

/** Share of the memory for buffered answers that a single answer may take. */
const SINGLE_ANSWER_SHARE = 1 / 2;

/** Memory for buffered answers below which the process could not serve, whatever its limit is. */
const MIN_BUFFERED_BYTES = 4 * 1024 * 1024;

/** Limits on buffered answers. */
export interface AnswerLimits {
  /** Limit on all answers of the process together. */
  readonly maxBufferedBytes: number;
  readonly maxAnswerBytes: number;
}

/** Derives the limits on buffered answers from the memory limit of the process. */
export function answerLimits(
  memoryLimitBytes = DEFAULT_MEMORY_LIMIT_BYTES,
): AnswerLimits {
  const maxBufferedBytes = Math.max(
    MIN_BUFFERED_BYTES,
    Math.floor(memoryLimitBytes * BUFFERED_SHARE),
  );
  return {
    maxBufferedBytes,
    maxAnswerBytes: Math.floor(maxBufferedBytes * SINGLE_ANSWER_SHARE),
  };
}

/** The memory that one answer takes while it is received. */
export interface ReceivedAnswer {
  /** Sets the size; may end this answer or another one. */
  resize(sizeBytes: number): void;
  close(): void;
}

interface ReceivedEntry {
  sizeBytes: number;
  readonly onEnded: () => void;
}

/**
 * Counts the memory that answers take while they are received and while they are sent on. Above the limit, the largest
 * of those that are being received is ended: an answer without end grows until it is the largest.
 */
export class AnswerMemory {
  readonly #maxBufferedBytes: number;
  readonly #received = new Set<ReceivedEntry>();
  #usedBytes = 0;

  constructor({ maxBufferedBytes }: Pick<AnswerLimits, "maxBufferedBytes">) {
    this.#maxBufferedBytes = maxBufferedBytes;
  }

  /** Memory that all answers take together. */
  get usedBytes(): number {
    return this.#usedBytes;
  }

  /** Counts an answer that is being received; `onEnded` is called once if it must end. */
  receive(onEnded: () => void): ReceivedAnswer {
    const entry: ReceivedEntry = { sizeBytes: 0, onEnded };
    this.#received.add(entry);
    return {
      resize: (sizeBytes) => this.#resize(entry, sizeBytes),
      close: () => this.#remove(entry),
    };
  }

  /** Counts an answer that is being sent on; the returned function ends the count. */
  hold(sizeBytes: number): () => void {
    let heldBytes = sizeBytes;
    this.#usedBytes += heldBytes;
    return () => {
      this.#usedBytes -= heldBytes;
      heldBytes = 0;
    };
  }

  #resize(entry: ReceivedEntry, sizeBytes: number): void {
    if (!this.#received.has(entry)) return;
    this.#usedBytes += sizeBytes - entry.sizeBytes;
    entry.sizeBytes = sizeBytes;
    if (this.#usedBytes <= this.#maxBufferedBytes) return;
    const ended = this.#largest(entry);
    this.#remove(ended);
    ended.onEnded();
  }

  #largest(grown: ReceivedEntry): ReceivedEntry {
    let largest = grown;
    for (const entry of this.#received) {
      if (entry.sizeBytes > largest.sizeBytes) largest = entry;
    }
    return largest;
  }

  #remove(entry: ReceivedEntry): void {
    if (!this.#received.delete(entry)) return;
    this.#usedBytes -= entry.sizeBytes;
  }
}
