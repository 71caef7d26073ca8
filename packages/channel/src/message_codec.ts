import { Decoder, encode, Encoder } from "@msgpack/msgpack";
import type { MessageHead } from "./channel_message.ts";
import { PackingTable, UnpackingTable } from "./text_tables.ts";

/** Version of the protocol; a connection to a daemon with another one is not used. */
export const PROTOCOL_VERSION = 1;

/**
 * What this daemon understands beyond the first form of the protocol; a daemon of an earlier version tells no level,
 * which counts as 0. From 1 on, heads may have an extension; from 2 on, large bodies of requests are sent as granted;
 * from 3 on, heads may have more than `EARLY_HEAD_ITEMS` texts.
 */
export const PROTOCOL_LEVEL = 3;

/** Level from which a daemon grants large bodies of requests, and sends them as granted. */
export const GRANTS_LEVEL = 2;

/** Identifies the protocol in the first frame of each direction. */
const PROTOCOL_NAME = "tanagercove";

/** Level from which a daemon reads heads of up to `MAX_HEAD_ITEMS` texts. */
const LONG_HEADS_LEVEL = 3;

/** Limit on the numbers or texts of a head for a daemon below `LONG_HEADS_LEVEL`. */
const EARLY_HEAD_ITEMS = 4_096;

/** Limit on the numbers or texts of one head; 64 KB of fields have less, unless most have one letter and no value. */
const MAX_HEAD_ITEMS = 16_384;

/** Limit on an encoded head; with the first bytes of a body, it fits into a frame. */
const MAX_HEAD_BYTES = 110 * 1024;

/** Bytes that a text takes at most beside its characters. */
const TEXT_OVERHEAD_BYTES = 6;

/** Bytes that a number takes at most. */
const NUMBER_BYTES = 9;

/** A character takes at most three bytes in UTF-8. */
const MAX_CHARACTER_BYTES = 3;

/** Limit on the length of a text in a head. */
const MAX_TEXT_BYTES = 80 * 1024;

/** A decoded head with the first bytes of its body. */
export interface DecodedMessage {
  readonly head: MessageHead;
  /** Length of the whole body; undefined without a body. */
  readonly bodyBytes: number | undefined;
  /** The beginning of the body. */
  readonly firstBytes: Buffer;
}

const encoder = new Encoder();
const decoder = new Decoder({
  maxStrLength: MAX_TEXT_BYTES,
  maxBinLength: MAX_TEXT_BYTES,
  maxArrayLength: MAX_HEAD_ITEMS,
  maxMapLength: 0,
  maxExtLength: 0,
});

/** Whether a daemon of a level can read a head; otherwise it would close the connection. */
export function isReadableHead(
  { numbers, texts, extension = [] }: MessageHead,
  level: number,
): boolean {
  const maxItems = level >= LONG_HEADS_LEVEL
    ? MAX_HEAD_ITEMS
    : EARLY_HEAD_ITEMS;
  const numberCount = numbers.length + extension.length;
  if (texts.length > maxItems) return false;
  let characters = 0;
  for (const text of texts) characters += text.length;
  const textBytes = MAX_HEAD_BYTES - numberCount * NUMBER_BYTES -
    texts.length * TEXT_OVERHEAD_BYTES;
  if (characters * MAX_CHARACTER_BYTES <= textBytes) return true;
  const lengths = texts.map((text) => Buffer.byteLength(text));
  return lengths.every((bytes) => bytes <= MAX_TEXT_BYTES) &&
    lengths.reduce((sum, bytes) => sum + bytes, 0) <= textBytes;
}

/** Encodes and decodes the messages of one connection. */
export class MessageCodec {
  readonly #packing = new PackingTable();
  readonly #unpacking = new UnpackingTable();

  /** The returned bytes are valid until the next call; `level` is that of the other end. */
  encode(
    { numbers, texts, extension }: MessageHead,
    { bodyBytes, firstBytes, level = 0 }: {
      readonly bodyBytes: number | undefined;
      readonly firstBytes: Buffer;
      readonly level?: number;
    },
  ): Uint8Array {
    const packed = texts.map((text) => this.#packing.pack(text));
    return encoder.encodeSharedRef([
      numbers,
      packed,
      bodyBytes ?? -1,
      firstBytes,
      ...(extension === undefined || level < 1 ? [] : [extension]),
    ]);
  }

  /** Returns undefined if the payload is malformed; the connection cannot be used any more then. */
  decode(payload: Buffer): DecodedMessage | undefined {
    const value = decodeValue(payload);
    if (!Array.isArray(value) || value.length < 4) return undefined;
    const [numbers, packed, bodyBytes, firstBytes, extension]: unknown[] =
      value;
    if (!isNumberList(numbers)) return undefined;
    if (extension !== undefined && !isNumberList(extension)) return undefined;
    if (!Array.isArray(packed) || !(firstBytes instanceof Uint8Array)) {
      return undefined;
    }
    if (!Number.isSafeInteger(bodyBytes)) return undefined;
    const totalBytes = bodyBytes as number;
    if (firstBytes.length > Math.max(0, totalBytes)) return undefined;
    const texts: string[] = [];
    for (const item of packed) {
      const text = this.#unpacking.unpack(item);
      if (text === undefined) return undefined;
      texts.push(text);
    }
    return {
      head: { numbers, texts, ...(extension && { extension }) },
      bodyBytes: totalBytes < 0 ? undefined : totalBytes,
      // A copy, as these bytes would keep all that was read with them in memory.
      firstBytes: Buffer.from(firstBytes),
    };
  }
}

/** What the first frame says of the daemon that sends it. */
export interface Hello {
  readonly version: number;
  readonly level: number;
}

/** Encodes the payload of the first frame. */
export function encodeHello(
  { version = PROTOCOL_VERSION, level = PROTOCOL_LEVEL }: Partial<Hello> = {},
): Buffer {
  return Buffer.from(encode([PROTOCOL_NAME, version, level]));
}

/** Decodes the payload of the first frame; undefined if it is malformed. */
export function decodeHello(payload: Buffer): Hello | undefined {
  const value = decodeValue(payload);
  if (!Array.isArray(value) || value[0] !== PROTOCOL_NAME) return undefined;
  const [, version, level = 0]: unknown[] = value;
  if (!Number.isSafeInteger(version) || !Number.isSafeInteger(level)) {
    return undefined;
  }
  return { version: version as number, level: level as number };
}

function isNumberList(value: unknown): value is readonly number[] {
  return Array.isArray(value) && value.every(Number.isFinite);
}

function decodeValue(payload: Buffer): unknown {
  try {
    return decoder.decode(payload);
  } catch {
    return undefined;
  }
}
