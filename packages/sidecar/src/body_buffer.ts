/** Capacity up to which the declared length of a body is trusted. */
const MAX_FIRST_CAPACITY_BYTES = 256 * 1024;

/** Options of `BodyBuffer`. */
export interface BodyBufferOptions {
  readonly maxBytes: number;
  /** Length that the message declares; 0 if it declares none. */
  readonly declaredBytes?: number;
  /** Whether there is memory for the declared length, which the buffer then takes at once. */
  readonly isReserved?: boolean;
  /** Called before the buffer takes more memory. */
  readonly onResize: (capacityBytes: number) => void;
  /** Whether there is memory for a capacity; without it, the body ends. There is by default. */
  readonly hasMemory?: (capacityBytes: number) => boolean;
}

/**
 * A body that is being received. It is one buffer that grows, not a list of chunks: a chunk of one byte would take more
 * than 100 bytes of the heap.
 */
export class BodyBuffer {
  readonly #options: BodyBufferOptions;
  #bytes: Buffer = Buffer.alloc(0);
  #sizeBytes = 0;

  constructor(options: BodyBufferOptions) {
    this.#options = options;
  }

  /** Adds bytes; false if the body is then too large, or has no memory. */
  append(chunk: Buffer): boolean {
    const { maxBytes } = this.#options;
    const sizeBytes = this.#sizeBytes + chunk.length;
    if (sizeBytes > maxBytes) return false;
    if (this.#sizeBytes === 0) {
      // Most bodies arrive as one chunk, which needs no copy.
      if (!this.#takeMemory(chunk.length)) return false;
      this.#bytes = chunk;
    } else {
      if (sizeBytes > this.#bytes.length && !this.#grow(sizeBytes)) {
        return false;
      }
      chunk.copy(this.#bytes, this.#sizeBytes);
    }
    this.#sizeBytes = sizeBytes;
    return true;
  }

  /** Number of bytes received so far. */
  get sizeBytes(): number {
    return this.#sizeBytes;
  }

  /** The bytes received so far. */
  bytes(): Buffer {
    return this.#bytes.subarray(0, this.#sizeBytes);
  }

  #takeMemory(capacityBytes: number): boolean {
    const { hasMemory, onResize } = this.#options;
    if (hasMemory?.(capacityBytes) === false) return false;
    onResize(capacityBytes);
    return true;
  }

  #grow(sizeBytes: number): boolean {
    const { maxBytes, declaredBytes = 0, isReserved } = this.#options;
    const firstBytes = Math.min(declaredBytes, MAX_FIRST_CAPACITY_BYTES);
    const capacityBytes = Math.min(
      maxBytes,
      isReserved && sizeBytes <= declaredBytes
        ? declaredBytes
        : Math.max(sizeBytes, 2 * this.#bytes.length, firstBytes),
    );
    if (!this.#takeMemory(capacityBytes)) return false;
    const grown = Buffer.allocUnsafeSlow(capacityBytes);
    this.#bytes.copy(grown);
    this.#bytes = grown;
    return true;
  }
}
