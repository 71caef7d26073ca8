const DEFAULT_MAX_BYTES = 256 * 1024;

/**
 * Keeps the newest lines of a process in memory, up to a limit of their total length; the last line is
 * kept even if it alone exceeds the limit.
 */
export class LogBuffer {
  readonly #maxBytes: number;
  #lines: string[] = [];
  #sizeBytes = 0;
  #droppedLines = 0;

  constructor(maxBytes: number = DEFAULT_MAX_BYTES) {
    this.#maxBytes = maxBytes;
  }

  add(line: string): void {
    this.#lines.push(line);
    this.#sizeBytes += line.length;
    while (this.#sizeBytes > this.#maxBytes && this.#lines.length > 1) {
      this.#sizeBytes -= this.#lines.shift()!.length;
      this.#droppedLines += 1;
    }
  }

  get lines(): readonly string[] {
    return this.#lines;
  }

  /** Number of lines dropped because of the limit. */
  get droppedLines(): number {
    return this.#droppedLines;
  }
}
