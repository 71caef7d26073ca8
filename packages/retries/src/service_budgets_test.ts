import t from "tap";
import { ServiceBudgets } from "./index.ts";

const RATIO = 0.2;
const SLACK = 56;
const WINDOW_MS = 10_000;

/**
 * Simulates a service whose upstreams refuse every request, and a second service that calls it
 * `callsPerRequest` times in each run. Every daemon retries requests to both services as often as its budgets
 * allow. Returns the highest number of retries at the called service in any window, and the bound for that number.
 * A retry at the calling service counts as `callsPerRequest` retries, because the retried run repeats its calls.
 */
function simulateRetries(options: {
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
  const retries: number[] = [];
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
    for (let call = 0; call < count; call += 1) retries.push(nowMs);
  }
  const mostRetries = Math.max(
    ...retries.map((fromMs) =>
      retries.filter((atMs) => atMs >= fromMs && atMs < fromMs + WINDOW_MS)
        .length
    ),
  );
  return {
    mostRetries,
    bound: RATIO * ownRequests * WINDOW_MS / 1_000 + SLACK,
  };
}

// Guards against retries that use up the fleet's budget because each retried run repeats its calls to a service,
// which count as retries there. With an upstream that refused half of its requests, 404 retries were sent where
// 404 were allowed.
t.test("should stay within the fleet's budget although retried runs call the service again", (t) => {
  for (const daemons of [3, 12, 84]) {
    const { mostRetries, bound } = simulateRetries({
      daemons,
      requestsPerSecond: 28,
      callerRequestsPerSecond: 90,
      callsPerRequest: 2,
    });
    t.ok(mostRetries < bound, `${daemons} daemons: ${mostRetries} of ${bound}`);
  }
  t.end();
});

t.test("should allow every daemon an occasional retry, also in a large fleet", (t) => {
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
