import t from "tap";
import { ServiceBudgets } from "./index.ts";

const RATIO = 0.2;
const SLACK = 56;
const WINDOW_MS = 10_000;

/**
 * Replays a service all of whose upstreams refuse, with another service that
 * calls it `callsPerRequest` times from each run: every daemon repeats as often
 * as it may. Returns the most repeats in a window and the bound for it.
 */
function replay(options: {
  readonly daemons: number;
  readonly requestsPerSecond: number;
  readonly callerRequestsPerSecond: number;
  readonly callsPerRequest: number;
}) {
  let nowMs = 0;
  const budgets = Array.from(
    { length: options.daemons },
    () =>
      new ServiceBudgets({
        ratio: RATIO,
        slack: SLACK,
        windowMs: WINDOW_MS,
        daemons: () => options.daemons,
        nowMs: () => nowMs,
      }),
  );
  const repeats: number[] = [];
  const ownRequests = options.requestsPerSecond +
    options.callerRequestsPerSecond * options.callsPerRequest;
  const perSecond = ownRequests + options.callerRequestsPerSecond;
  for (let i = 0; i < perSecond * 30; i += 1) {
    nowMs = i * 1_000 / perSecond;
    const budget = budgets[i % options.daemons]!;
    const isCaller = i % perSecond < options.callerRequestsPerSecond;
    const service = isCaller ? "caller" : "called";
    budget.recordRequest(service);
    if (!budget.tryTake(service)) continue;
    const count = isCaller ? options.callsPerRequest : 1;
    for (let call = 0; call < count; call += 1) repeats.push(nowMs);
  }
  const most = Math.max(
    ...repeats.map((fromMs) =>
      repeats.filter((atMs) => atMs >= fromMs && atMs < fromMs + WINDOW_MS)
        .length
    ),
  );
  return { most, bound: RATIO * ownRequests * WINDOW_MS / 1_000 + SLACK };
}

// 404 repeats were sent where 404 were allowed, on a day on which an upstream
// shed half of its requests and repeated runs called the same service again.
t.test("should keep the fleet's budget though repeated runs call the service again", (t) => {
  for (const daemons of [3, 12, 84]) {
    const { most, bound } = replay({
      daemons,
      requestsPerSecond: 28,
      callerRequestsPerSecond: 90,
      callsPerRequest: 2,
    });
    t.ok(most < bound, `${daemons} daemons: ${most} of ${bound}`);
  }
  t.end();
});

t.test("should leave every daemon a repeat now and then, also in a large fleet", (t) => {
  const budgets = new ServiceBudgets({
    ratio: RATIO,
    slack: SLACK,
    windowMs: WINDOW_MS,
    daemons: () => 300,
    nowMs: () => 0,
  });
  for (let i = 0; i < 20; i += 1) budgets.recordRequest("shop");
  t.ok(budgets.tryTake("shop"));
  t.notOk(budgets.tryTake("shop"));
  t.end();
});
