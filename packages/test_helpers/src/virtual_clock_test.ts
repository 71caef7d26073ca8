import fc from "fast-check";
import t from "tap";
import { VirtualClock } from "./index.ts";

const SEED = 20_261_204;
t.comment(`seed ${SEED}`);

// Guards against simulations whose events run in the wrong order.
t.test("should fire timers by time, then in the order they were set, and skip cancelled ones", async () => {
  const timers = fc.array(fc.record({ ms: fc.nat(20), cancel: fc.boolean() }));
  await fc.assert(
    fc.asyncProperty(timers, async (timers) => {
      const clock = new VirtualClock();
      const fired: string[] = [];
      for (const [i, { ms, cancel }] of timers.entries()) {
        const timer = clock.setTimer(() => {
          fired.push(`${i} ${clock.nowMs()}`);
        }, ms);
        if (cancel) timer.cancel();
      }
      await clock.advance(10);
      await clock.advance(10);
      const expected = timers.map(({ ms, cancel }, i) => ({ ms, cancel, i }))
        .filter(({ cancel }) => !cancel)
        .sort((a, b) => a.ms - b.ms || a.i - b.i)
        .map(({ ms, i }) => `${i} ${ms}`);
      return fired.join() === expected.join();
    }),
    { seed: SEED },
  );
});
