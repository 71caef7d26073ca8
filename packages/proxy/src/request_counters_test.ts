import t from "tap";
import { RequestCounters } from "./request_counters.ts";

// The mean of an empty histogram is NaN, which `dump` and `/metrics` cannot show.
t.test("should give the mean of the added time beside its percentiles, and 0 without requests", (t) => {
  const counters = new RequestCounters();
  t.match(counters.addedTime(), { count: 0, meanUs: 0 });
  for (const addedMs of [0.1, 0.1, 0.1, 0.5]) counters.recordAddedTime(addedMs);
  const { meanUs, p50Us } = counters.addedTime();
  t.ok(Math.abs(meanUs - 200) < 1, `${meanUs}`);
  t.equal(p50Us, 100);
  t.end();
});
