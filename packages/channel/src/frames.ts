import { crc32 } from "node:zlib";
import { Result } from "true-myth";

/**
 * Kinds of frames. `hello` opens each direction of a connection; `request` and `answer` carry the head of a message and
 * the beginning of its body, `data` the rest of the body; `alive` says that a request has arrived and is still at work;
 * `ping` asks for a `pong`; `leaving` asks for no new request; `grant` says how many bytes of a request's body may have
 * been sent, which only daemons of level 2 send and get.
 */
export type FrameKind =
  | "hello"
  | "request"
  | "answer"
  | "data"
  | "alive"
  | "cancel"
  | "ping"
  | "pong"
  | "leaving"
  | "grant";

/** One frame as it travels. */
export interface Frame {
  readonly kind: FrameKind;
  /** Number of the exchange; 0 in frames that concern the connection. */
  readonly exchangeId: number;
  readonly payload: Buffer;
}

/** Why bytes are no sequence of frames. */
export type FrameProblem =
  | "frame_too_large"
  | "frame_too_small"
  | "corrupt"
  | "unknown_kind";

/**
 * Length of the head in front of each payload: the size of the frame and the checksum of what follows, the kind and the
 * number of the exchange.
 */
export const FRAME_HEAD_BYTES = 13;

/** Length of the size and the checksum. */
const CHECKED_FROM = 8;

/** Limit on a frame: a head of 80 KB and the beginning of a body. */
export const MAX_FRAME_BYTES = 128 * 1024;

const KINDS: readonly FrameKind[] = [
  "hello",
  "request",
  "answer",
  "data",
  "alive",
  "cancel",
  "ping",
  "pong",
  "leaving",
  "grant",
];

const CODES = Object.fromEntries(
  KINDS.map((kind, code) => [kind, code]),
) as Readonly<Record<FrameKind, number>>;

/** Encodes a frame. */
export function encodeFrame(
  kind: FrameKind,
  { exchangeId, payload }: {
    readonly exchangeId: number;
    readonly payload: Uint8Array;
  },
): Buffer {
  const frame = Buffer.allocUnsafe(FRAME_HEAD_BYTES + payload.length);
  frame.writeUInt32BE(frame.length, 0);
  frame.writeUInt8(CODES[kind], CHECKED_FROM);
  frame.writeUInt32BE(exchangeId, CHECKED_FROM + 1);
  frame.set(payload, FRAME_HEAD_BYTES);
  frame.writeUInt32BE(crc32(frame.subarray(CHECKED_FROM)), 4);
  return frame;
}

/** Pieces of an incomplete frame from which they are joined; many small ones would take more memory than their bytes. */
const MAX_PIECES = 64;

/** Splits the bytes of a connection into frames; holds at most one incomplete frame. */
export class FrameReader {
  #pieces: Buffer[] = [];
  #heldBytes = 0;

  /** Bytes of an incomplete frame. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Returns the frames that are complete with these bytes, or why they are none. */
  push(chunk: Buffer): Result<readonly Frame[], FrameProblem> {
    this.#pieces.push(chunk);
    this.#heldBytes += chunk.length;
    if (this.#pieces.length > MAX_PIECES) this.#join();
    const frames: Frame[] = [];
    for (;;) {
      if (this.#heldBytes < FRAME_HEAD_BYTES) return Result.ok(frames);
      const first = this.#first(FRAME_HEAD_BYTES);
      const sizeBytes = first.readUInt32BE(0);
      if (sizeBytes > MAX_FRAME_BYTES) return Result.err("frame_too_large");
      if (sizeBytes < FRAME_HEAD_BYTES) return Result.err("frame_too_small");
      if (this.#heldBytes < sizeBytes) return Result.ok(frames);
      const frame = this.#take(sizeBytes);
      const checked = frame.subarray(CHECKED_FROM);
      if (crc32(checked) !== frame.readUInt32BE(4)) {
        return Result.err("corrupt");
      }
      const kind = KINDS[checked.readUInt8(0)];
      if (kind === undefined) return Result.err("unknown_kind");
      frames.push({
        kind,
        exchangeId: checked.readUInt32BE(1),
        payload: frame.subarray(FRAME_HEAD_BYTES),
      });
    }
  }

  /** The first piece, joined with the next ones if it is shorter than the length. */
  #first(lengthBytes: number): Buffer {
    const first = this.#pieces[0]!;
    return first.length >= lengthBytes ? first : this.#join();
  }

  #join(): Buffer {
    const joined = Buffer.concat(this.#pieces);
    this.#pieces = [joined];
    return joined;
  }

  #take(lengthBytes: number): Buffer {
    const first = this.#first(lengthBytes);
    const rest = first.subarray(lengthBytes);
    if (rest.length === 0) this.#pieces.shift();
    else this.#pieces[0] = rest;
    this.#heldBytes -= lengthBytes;
    return first.subarray(0, lengthBytes);
  }
}
