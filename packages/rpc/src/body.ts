import { promisify } from "node:util";
import { gunzip, gzip } from "node:zlib";
import { Result } from "true-myth";

const compress = promisify(gzip);
const decompress = promisify(gunzip);

/** Bodies up to this size are sent uncompressed: what gzip saves on them is not worth its header and the time. */
const GZIP_ABOVE_BYTES = 1_024;

/** `plans` and `allowances` together have up to 2 MB; JSON escapes can add half of that. */
export const MAX_BODY_BYTES = 4 * 1024 * 1024;

/** A body ready to be sent. */
export interface EncodedBody {
  readonly bytes: Buffer;
  readonly headers: Readonly<Record<string, string>>;
}

/** Encodes a message as JSON, with gzip above 1 KB. */
export async function encodeBody(message: unknown): Promise<EncodedBody> {
  const plain = Buffer.from(JSON.stringify(message));
  const zipped = plain.length > GZIP_ABOVE_BYTES;
  const bytes = zipped ? await compress(plain) : plain;
  const headers = {
    "content-type": "application/json",
    "content-length": String(bytes.length),
    ...(zipped ? { "content-encoding": "gzip" } : {}),
  };
  return { bytes, headers };
}

/** Options of `decodeBody`. */
export interface DecodeBodyOptions {
  readonly encoding: string | string[] | undefined;
  /** Limit on the size after decompression. */
  readonly maxBytes: number;
}

/** Decodes a body; the error says why it cannot be decoded. */
export async function decodeBody(
  bytes: Buffer,
  { encoding, maxBytes }: DecodeBodyOptions,
): Promise<Result<unknown, string>> {
  try {
    const plain = encoding === "gzip"
      ? await decompress(bytes, { maxOutputLength: maxBytes })
      : bytes;
    return Result.ok(JSON.parse(plain.toString()));
  } catch (error) {
    return Result.err(`Body is not readable: ${String(error).slice(0, 200)}`);
  }
}
