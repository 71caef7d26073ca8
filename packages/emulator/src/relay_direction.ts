import type { Socket } from "node:net";

/** What a direction of a relayed connection does with data. */
export type FlowState = "pass" | "hold" | "discard";

/** Options of `RelayDirection`. */
export interface RelayDirectionOptions {
  readonly source: Socket;
  readonly destination: Socket;
  readonly delayMs: () => number;
  /** Called with the number of bytes that were forwarded. */
  readonly onBytes: (sizeBytes: number) => void;
}

interface QueuedChunk {
  /** Undefined marks the end of the stream. */
  readonly chunk: Buffer | undefined;
  readonly dueAtMs: number;
}

/** Reading pauses while more than this is queued, which slows the sender as a congested link would. */
const MAX_QUEUED_BYTES = 1024 * 1024;

/** Forwards data from one socket to another, in order and with a delay. */
export class RelayDirection {
  readonly #options: RelayDirectionOptions;
  #queue: QueuedChunk[] = [];
  #queuedBytes = 0;
  #state: FlowState = "pass";
  #blocked = false;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: RelayDirectionOptions) {
    this.#options = options;
    const { source, destination } = options;
    source.on("data", (chunk) => this.#push(chunk));
    source.on("end", () => this.#push(undefined));
    destination.on("drain", () => {
      this.#blocked = false;
      this.#flush();
    });
  }

  /** Holds data, forwards it again, or discards queued and further data for good. */
  setState(state: FlowState): void {
    if (this.#state === "discard") return;
    this.#state = state;
    if (state === "hold") this.#options.source.pause();
    if (state === "discard") this.stop();
    if (state !== "hold") this.#options.source.resume();
    this.#flush();
  }

  stop(): void {
    clearTimeout(this.#timer);
    this.#queue = [];
    this.#queuedBytes = 0;
  }

  #push(chunk: Buffer | undefined): void {
    if (this.#state === "discard") {
      if (chunk === undefined) this.#options.source.destroy();
      return;
    }
    this.#queue.push({
      chunk,
      dueAtMs: performance.now() + this.#options.delayMs(),
    });
    this.#queuedBytes += chunk?.length ?? 0;
    if (this.#queuedBytes > MAX_QUEUED_BYTES) this.#options.source.pause();
    this.#flush();
  }

  #flush(): void {
    clearTimeout(this.#timer);
    while (this.#state === "pass" && !this.#blocked) {
      const head = this.#queue[0];
      if (head === undefined) break;
      const waitMs = head.dueAtMs - performance.now();
      if (waitMs > 0) {
        this.#timer = setTimeout(() => this.#flush(), Math.ceil(waitMs));
        return;
      }
      this.#queue.shift();
      this.#send(head.chunk);
    }
  }

  #send(chunk: Buffer | undefined): void {
    const { source, destination, onBytes } = this.#options;
    if (destination.destroyed || destination.writableEnded) return;
    if (chunk === undefined) {
      destination.end();
      return;
    }
    this.#queuedBytes -= chunk.length;
    onBytes(chunk.length);
    this.#blocked = !destination.write(chunk);
    if (this.#queuedBytes <= MAX_QUEUED_BYTES) source.resume();
  }
}
