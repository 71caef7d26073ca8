import t from "tap";
import { headLimits, HeadMemory, requestHeapBytes } from "./head_memory.ts";

const MB = 1_000_000;

// Guards against a daemon whose callers take all the heap, so that nothing of other daemons is accepted, and against
// heap that counts as taken for good.
t.test("should leave room to other daemons, and give back once what was taken", (t) => {
  const heads = new HeadMemory({ headBytes: 4 * MB, headBytesOfUse: 3 * MB });
  const held = Array.from({ length: 5 }, () => heads.hold("caller_heads", MB));
  t.equal(held.filter((release) => release !== undefined).length, 3);
  t.equal(heads.refusals("caller_heads"), 2);
  t.ok(heads.hold("forwarded_heads", MB));
  t.equal(heads.hold("forwarded_heads", 1), undefined);
  held[0]!();
  held[0]!();
  t.equal(heads.usedBytes("caller_heads"), 2 * MB);
  t.ok(heads.hold("forwarded_heads", MB));
  t.end();
});

// Guards against an estimate below what was measured: 11 KB with 10 fields and the connection, 76 KB with 1,700 short
// fields, 80 KB with 1,000 fields of 17 KB.
t.test("should estimate at least what waiting requests were measured to take", (t) => {
  const fields = (count: number, value: string, path = "/") => ({
    path,
    headers: Array.from(
      { length: count },
      (_, i) => [`x${i.toString(36)}`, value],
    ).flat(),
  });
  t.ok(requestHeapBytes(fields(10, "1")) > 8_000);
  t.ok(requestHeapBytes(fields(1_700, "1")) > 76_000);
  t.ok(requestHeapBytes(fields(1_000, "valuevalue")) > 80_000);
  const longPath = fields(10, "1", `/${"p".repeat(15_000)}`);
  t.ok(requestHeapBytes(longPath) > 30_000, "a path of 15 KB, twice");
  const { headBytesOfUse } = headLimits(48 * 1024 * 1024);
  t.ok(headBytesOfUse / requestHeapBytes(fields(10, "1")) > 900, "ordinary");
  t.end();
});
