import t from "tap";
import { waitFor } from "@tanagercove/test_helpers";
import { watchTimerDelay } from "./timer_delay.ts";

// Guards against a process that is behind without a trace: callers see late answers, and no log line tells why.
t.test("should report how long events wait while the process is busy", async (t) => {
  const delays: number[] = [];
  const watch = watchTimerDelay({
    intervalMs: 5,
    onDelay: (delayMs) => delays.push(delayMs),
  });
  t.teardown(() => watch.close());
  await waitFor(() => delays.length > 0);
  const busyUntilMs = performance.now() + 100;
  while (performance.now() < busyUntilMs);
  const seen = delays.length;
  await waitFor(() => delays.length > seen);
  t.ok(delays[seen]! > 80, `delay of ${delays[seen]} ms`);
});
