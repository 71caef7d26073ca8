import t from "tap";
import {
  decodeHello,
  encodeHello,
  isReadableHead,
  MessageCodec,
} from "./message_codec.ts";
import { FRAME_HEAD_BYTES, MAX_FRAME_BYTES } from "./frames.ts";

const HEAD = { numbers: [1], texts: ["a"], extension: [7, 0.5] };
const NO_BODY = { bodyBytes: undefined, firstBytes: Buffer.alloc(0) };

// Guards against heads that a daemon of an earlier version takes for malformed, which costs it the connection.
t.test("should leave the extension out for a daemon of level 0", (t) => {
  const extensionFor = (level: number) => {
    const payload = new MessageCodec().encode(HEAD, { ...NO_BODY, level });
    return new MessageCodec().decode(Buffer.from(payload))!.head.extension;
  };
  t.same(extensionFor(0), undefined);
  t.same(extensionFor(1), [7, 0.5]);
  t.end();
});

t.test("should refuse a head whose extension holds something else than numbers", (t) => {
  const extension = [Number.NaN];
  const payload = new MessageCodec()
    .encode({ ...HEAD, extension }, { ...NO_BODY, level: 1 });
  t.equal(new MessageCodec().decode(Buffer.from(payload)), undefined);
  t.end();
});

t.test("should take a daemon that tells no level for one of level 0", (t) => {
  const told = decodeHello(encodeHello({ level: 3 }));
  t.same(told, { version: 1, level: 3 });
  const withoutLevel = Buffer.from(
    Buffer.concat([
      Buffer.from([0x92, 0xab]),
      Buffer.from("tanagercove"),
      Buffer.from([1]),
    ]),
  );
  t.same(decodeHello(withoutLevel), { version: 1, level: 0 });
  t.end();
});

// Guards against a head that a daemon takes for malformed, or whose frame is too large for it.
t.test("should take a head for readable only if it is", (t) => {
  const firstBytes = Buffer.alloc(16 * 1024);
  const heads = [1, 500, 4_096, 4_097, 9_000, 16_384, 16_385].flatMap((count) =>
    ["", "a", "\u00e9\u00e9", "x".repeat(15), "\u20ac".repeat(12)].map((text) =>
      Array.from({ length: count }, () => text)
    )
  );
  let readable = 0;
  for (const texts of heads) {
    const head = { numbers: [1.5, -3], texts };
    if (!isReadableHead(head, 3)) continue;
    readable += 1;
    const payload = Buffer.from(
      new MessageCodec().encode(head, { bodyBytes: 99_999, firstBytes }),
    );
    const what = `${texts.length} of ${JSON.stringify(texts[0])}`;
    t.ok(payload.length + FRAME_HEAD_BYTES <= MAX_FRAME_BYTES, what);
    t.same(new MessageCodec().decode(payload)?.head.texts.length, texts.length);
  }
  t.ok(readable > 20, `readable: ${readable}`);
  const many = { numbers: [], texts: Array.from({ length: 4_097 }, () => "a") };
  t.notOk(isReadableHead(many, 2), "for a daemon of level 2");
  t.end();
});
