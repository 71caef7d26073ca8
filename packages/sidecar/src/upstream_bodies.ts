import {
  DEFAULT_MEMORY_LIMIT_BYTES,
  SMALL_BODY_BYTES,
} from "@tanagercove/memory";

/** Room for one body at the upstream, from its announcement until the upstream has answered. */
export interface BodyRoom {
  /** Gives the room back; further calls have no effect. */
  close(): void;
}

/**
 * Share of the VM's memory limit that the bodies at the upstream may take. The upstream's own limit is not told; it is
 * taken to be that of the VM. Half of it is left to the program, and each body may be there twice, as it was received and
 * as it is worked on.
 */
const UPSTREAM_BODY_SHARE = 1 / 4;

/** Bytes of bodies that an upstream may hold, by the memory limit of its VM. */
export function upstreamBodyBytes(
  memoryLimitBytes = DEFAULT_MEMORY_LIMIT_BYTES,
): number {
  return Math.floor(memoryLimitBytes * UPSTREAM_BODY_SHARE);
}

/**
 * Counts the bodies of the requests that wait for this VM's upstream or run there.
 *
 * Answers uploads that together exceed the memory of an upstream, which crashes then. Small bodies are counted and never
 * refused: as many as there are slots take little. A single large one is taken whatever its size, as the operator allows
 * it.
 */
export class UpstreamBodies {
  readonly #maxBytes: number;
  #usedBytes = 0;
  #count = 0;
  #refusals = 0;

  constructor({ maxBytes }: { readonly maxBytes: number }) {
    this.#maxBytes = maxBytes;
  }

  get usedBytes(): number {
    return this.#usedBytes;
  }

  /** Bodies that were refused so far. */
  get refusals(): number {
    return this.#refusals;
  }

  /** Bytes for which there is room. */
  get freeBytes(): number {
    return Math.max(0, this.#maxBytes - this.#usedBytes);
  }

  /** Takes room for a body; undefined if there is none. */
  reserve(sizeBytes: number): BodyRoom | undefined {
    const mustFit = sizeBytes > SMALL_BODY_BYTES && this.#count > 0;
    if (mustFit && sizeBytes > this.freeBytes) {
      this.#refusals += 1;
      return undefined;
    }
    const counted = sizeBytes > SMALL_BODY_BYTES ? 1 : 0;
    this.#usedBytes += sizeBytes;
    this.#count += counted;
    let isClosed = false;
    return {
      close: () => {
        if (isClosed) return;
        isClosed = true;
        this.#usedBytes -= sizeBytes;
        this.#count -= counted;
      },
    };
  }
}
