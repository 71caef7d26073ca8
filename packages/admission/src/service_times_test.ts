import fc from "fast-check";
import t from "tap";
import { ServiceTimes } from "./service_times.ts";

const SEED = 20_261_204;
t.comment(`seed ${SEED}`);

// Guards against estimates that stay too high after a stall and cause needless refusals.
t.test("should follow the service time from any history within 400 requests", (t) => {
  const times = fc.double({ min: 0, max: 1_000, noNaN: true });
  fc.assert(
    fc.property(fc.array(times), times, (history, timeMs) => {
      const estimates = new ServiceTimes();
      for (const ms of history) estimates.record(ms);
      for (let i = 0; i < 400; i += 1) estimates.record(timeMs);
      const expectedMs = Math.max(0.1, timeMs);
      return [estimates.meanMs, estimates.medianMs].every((ms) =>
        ms > expectedMs * 0.94 && ms < expectedMs * 1.06
      );
    }),
    { seed: SEED },
  );
  t.end();
});
