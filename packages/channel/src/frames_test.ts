import { crc32 } from "node:zlib";
import fc from "fast-check";
import t from "tap";
import {
  encodeFrame,
  type Frame,
  FRAME_HEAD_BYTES,
  type FrameKind,
  FrameReader,
  MAX_FRAME_BYTES,
} from "./frames.ts";
import { MessageCodec } from "./message_codec.ts";

const SEED = 20261205;

const frames = fc.array(
  fc.record({
    kind: fc.constantFrom<FrameKind>("request", "answer", "data", "cancel"),
    exchangeId: fc.nat(2 ** 32 - 1),
    payload: fc.uint8Array({ maxLength: 60 }).map((bytes) =>
      Buffer.from(bytes)
    ),
  }),
  { minLength: 1, maxLength: 6 },
);

const encodeAll = (list: readonly Frame[]) =>
  Buffer.concat(list.map(({ kind, ...rest }) => encodeFrame(kind, rest)));

/** Reads bytes in chunks that end at these places; returns the frames up to the first problem. */
function read(bytes: Buffer, cuts: readonly number[]) {
  const reader = new FrameReader();
  const received: Frame[] = [];
  const ends = [...new Set(cuts.map((cut) => cut % (bytes.length + 1)))]
    .sort((a, b) => a - b);
  let start = 0;
  for (const end of [...ends, bytes.length]) {
    const result = reader.push(bytes.subarray(start, end));
    start = end;
    if (result.isErr) return { received, problem: result.error };
    received.push(...result.value);
  }
  return { received, problem: undefined };
}

t.test("should decode frames as they were sent, whatever the chunks", (t) => {
  fc.assert(
    fc.property(frames, fc.array(fc.nat()), (sent, cuts) => {
      const { received, problem } = read(encodeAll(sent), cuts);
      return problem === undefined && JSON.stringify(received) ===
          JSON.stringify(sent);
    }),
    { seed: SEED, numRuns: 500 },
  );
  t.end();
});

t.test("should decode the whole frames in front of the end of truncated bytes, and nothing else", (t) => {
  fc.assert(
    fc.property(frames, fc.nat(), (sent, cut) => {
      const bytes = encodeAll(sent);
      const kept = bytes.subarray(0, cut % bytes.length);
      const { received, problem } = read(kept, []);
      const isPrefix = JSON.stringify(received) ===
        JSON.stringify(sent.slice(0, received.length));
      return problem === undefined && isPrefix && received.length < sent.length;
    }),
    { seed: SEED, numRuns: 500 },
  );
  t.end();
});

// Guards against an answer that reaches the caller of another request.
t.test("should decode no frame that differs from the sent one if a bit is flipped", (t) => {
  fc.assert(
    fc.property(frames, fc.nat(), fc.nat(7), (sent, at, bit) => {
      const bytes = encodeAll(sent);
      const index = at % bytes.length;
      bytes[index]! ^= 1 << bit;
      const { received } = read(bytes, []);
      return JSON.stringify(received) ===
          JSON.stringify(sent.slice(0, received.length)) &&
        received.length < sent.length;
    }),
    { seed: SEED, numRuns: 2_000 },
  );
  t.end();
});

t.test("should refuse sizes past the bounds as soon as they are read", (t) => {
  const head = (sizeBytes: number) => {
    const bytes = Buffer.alloc(FRAME_HEAD_BYTES);
    bytes.writeUInt32BE(sizeBytes, 0);
    return bytes;
  };
  const problemOf = (bytes: Buffer) => read(bytes, []).problem;
  t.equal(problemOf(head(MAX_FRAME_BYTES)), undefined);
  t.equal(problemOf(head(MAX_FRAME_BYTES + 1)), "frame_too_large");
  t.equal(problemOf(head(0)), "frame_too_small");
  t.equal(problemOf(head(FRAME_HEAD_BYTES - 1)), "frame_too_small");
  const payload = Buffer.alloc(MAX_FRAME_BYTES - FRAME_HEAD_BYTES);
  const largest = encodeFrame("data", { exchangeId: 1, payload });
  t.equal(read(largest, []).received.length, 1);
  const none = Buffer.alloc(0);
  const unknown = encodeFrame("ping", { exchangeId: 1, payload: none });
  unknown[8] = 99;
  t.equal(problemOf(unknown), "corrupt");
  unknown.writeUInt32BE(crc32(unknown.subarray(8)), 4);
  t.equal(problemOf(unknown), "unknown_kind");
  t.end();
});

const heads = fc.array(
  fc.record({
    numbers: fc.array(fc.integer(), { maxLength: 6 }),
    texts: fc.array(fc.constantFrom("", "a", "host", "shop.example", "über"), {
      maxLength: 8,
    }),
  }),
  { maxLength: 20 },
);

t.test("should decode the heads of a connection as they were sent, repeated texts included", (t) => {
  fc.assert(
    fc.property(heads, fc.option(fc.uint8Array()), (sent, body) => {
      const sender = new MessageCodec();
      const receiver = new MessageCodec();
      const firstBytes = Buffer.from(body ?? []);
      const bodyBytes = body === null ? undefined : body.length + 5;
      return sent.every((head) => {
        const bytes = sender.encode(head, { bodyBytes, firstBytes });
        const decoded = receiver.decode(Buffer.from(bytes));
        return JSON.stringify(decoded) ===
          JSON.stringify({ head, bodyBytes, firstBytes });
      });
    }),
    { seed: SEED, numRuns: 500 },
  );
  t.end();
});

t.test("should never throw on bytes that are no head", (t) => {
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
      new MessageCodec().decode(Buffer.from(bytes));
      return true;
    }),
    { seed: SEED, numRuns: 5_000 },
  );
  const nested = Buffer.alloc(100_000, 0x91);
  t.equal(new MessageCodec().decode(nested), undefined, "very deep nesting");
  t.end();
});

t.test("should send a text that repeats on a connection only twice", (t) => {
  const sender = new MessageCodec();
  const value = "x".repeat(100);
  const sizes = [1, 2, 3].map(() =>
    sender.encode({ numbers: [], texts: [value] }, {
      bodyBytes: undefined,
      firstBytes: Buffer.alloc(0),
    }).length
  );
  t.ok(sizes[0]! > 100 && sizes[1]! > 100 && sizes[2]! < 20, `${sizes}`);
  t.end();
});
