import t from "tap";
import { StartRate } from "./start_rate.ts";

const COUNTED_MS = 4_000;

/** Starts as many requests as the limit allows, trying each millisecond; returns their times. */
function startAll(rate: StartRate, fromMs: number, toMs: number): number[] {
  const startsMs: number[] = [];
  for (let nowMs = fromMs; nowMs < toMs; nowMs += 1) {
    while (rate.available(nowMs) > 0) {
      rate.take(nowMs);
      startsMs.push(nowMs);
    }
  }
  return startsMs;
}

// Guards against more requests to an upstream in need than half above the limit that it names, and five, in any 4 s.
t.test("should let no more requests start than the limit, also after a pause", (t) => {
  for (const limitPerSecond of [1, 2.5, 15.5, 300]) {
    const rate = new StartRate();
    rate.setLimit(limitPerSecond, 0);
    const startsMs = [
      ...startAll(rate, 0, 3_000),
      ...startAll(rate, 6_000, 12_000),
    ];
    const allowed = 1.5 * limitPerSecond * COUNTED_MS / 1_000 + 5;
    for (const startMs of startsMs) {
      const inSpan = startsMs.filter((ms) =>
        ms >= startMs && ms < startMs + COUNTED_MS
      );
      if (inSpan.length > allowed) {
        t.fail(`${inSpan.length} starts from ${startMs} ms on`);
      }
    }
    const used = startsMs.length / (9 * limitPerSecond);
    t.ok(used > 0.9, `${Math.round(100 * used)} % of ${limitPerSecond}/s used`);
  }
  t.end();
});

t.test("should allow any number without a limit, and count a start that is taken back as none", (t) => {
  const rate = new StartRate();
  t.equal(rate.available(0), Infinity);
  t.equal(rate.delayMs(1_000, 0), 0);
  rate.setLimit(10, 0);
  rate.take(0);
  t.equal(rate.available(0), 0);
  t.equal(rate.delayMs(2, 0), 200);
  rate.giveBack();
  t.equal(rate.available(0), 1);
  rate.setLimit(undefined, 0);
  t.equal(rate.available(0), Infinity);
  t.end();
});
