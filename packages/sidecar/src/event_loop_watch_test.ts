import t from "tap";
import { waitFor } from "@tanagercove/test_helpers";
import { type EventLoopLag, watchEventLoop } from "./event_loop_watch.ts";

// Guards against a process that is behind without a trace: callers see late answers, and no log line tells why.
t.test("should report how long events wait while the process is busy", async (t) => {
  const delays: number[] = [];
  const watch = watchEventLoop({
    intervalMs: 5,
    onMeasured: ({ delayMs }) => delays.push(delayMs),
  });
  t.teardown(() => watch.close());
  await waitFor(() => delays.length > 0);
  const busyUntilMs = performance.now() + 100;
  while (performance.now() < busyUntilMs);
  const seen = delays.length;
  await waitFor(() => delays.length > seen);
  t.ok(delays[seen]! > 80, `delay of ${delays[seen]} ms`);
});

// Guards against a daemon that does not notice that new connections wait: its timers are on time, but its turns are long.
t.test("should count as behind while the turns of the event loop are long", async (t) => {
  const lags: EventLoopLag[] = [];
  const watch = watchEventLoop({ onMeasured: (lag) => lags.push(lag) });
  t.teardown(() => watch.close());
  let isBusy = true;
  const useTurn = () => {
    const busyUntilMs = performance.now() + 30;
    while (performance.now() < busyUntilMs);
    if (isBusy) setImmediate(useTurn);
  };
  useTurn();
  await waitFor(() => lags.length === 2);
  t.ok(watch.isBehind());
  t.ok(lags[1]!.turnMs > 20, `turns of ${lags[1]!.turnMs} ms`);
  isBusy = false;
  await waitFor(() => !watch.isBehind());
});
