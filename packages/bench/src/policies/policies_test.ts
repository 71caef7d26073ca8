import t from "tap";
import { simulateQueue } from "./queue_simulation.ts";
import {
  type ServiceSimulationOptions,
  simulateService,
} from "./service_simulation.ts";

const SEED = 20_261_204;
t.comment(`seed ${SEED}`);

const SERVICE: ServiceSimulationOptions = {
  seed: SEED,
  durationMs: 18_000,
  upstreamCount: 6,
  callerCount: 4,
  load: 0.6,
  choice: "two_choices",
  reports: "none",
  slowness: 1,
  failingCount: 0,
  failure: "refuses_connections",
  division: "direct",
  ejects: true,
  hasBudget: true,
};

function simulateOverload(load: number) {
  return simulateQueue({
    seed: SEED,
    durationMs: 10_000,
    load: { idempotent: load * 0.8, non_idempotent: load * 0.2 },
    queue: { slots: 10 },
    deadlineMs: { min: 40, max: 400 },
  });
}

// Guards against figures that cannot be reproduced.
t.test("should give the same figures for the same seed", async (t) => {
  const options = { ...SERVICE, durationMs: 3_000, failingCount: 2 };
  t.same(await simulateService(options), await simulateService(options));
});

// Guards against retries that multiply the load while nothing can answer.
t.test("should send at most 1.1 attempts per request in a full outage", async (t) => {
  const { during } = await simulateService({ ...SERVICE, failingCount: 6 });
  t.ok(during.requests > 4_000, "at least 1,000 requests per caller");
  t.ok(during.attemptsPerRequest <= 1.1, `${during.attemptsPerRequest}`);
});

// Guards against requests lost to upstreams that are known to be dead.
t.test("should answer nearly all requests while a third of the upstreams refuse connections", async (t) => {
  const { during, after } = await simulateService({
    ...SERVICE,
    failingCount: 2,
  });
  t.ok(during.answered >= 0.99, `${during.answered}`);
  t.ok(during.attemptsPerRequest <= 1.1, `${during.attemptsPerRequest}`);
  t.ok(after.answered >= 0.99, `${after.answered}`);
});

// Guards against upstreams that accept requests, never answer and keep receiving them.
t.test("should lose few requests while a third of the upstreams are frozen", async (t) => {
  const { during } = await simulateService({
    ...SERVICE,
    failingCount: 2,
    failure: "frozen",
  });
  t.ok(during.answered >= 0.97, `${during.answered}`);
});

// Guards against a slow upstream that attracts requests by reporting no load.
t.test("should answer nearly all requests although a slow upstream reports that it is idle", async (t) => {
  const { before } = await simulateService({
    ...SERVICE,
    slowness: 5,
    reports: "all_lie",
  });
  t.ok(before.answered >= 0.99, `${before.answered}`);
  t.ok(before.toFirstUpstream <= 0.05, `${before.toFirstUpstream}`);
});

// Guards against a queue that spends its slots on requests which end too late.
t.test("should keep 90 % of the goodput at four times the capacity, and serve deposits first", async (t) => {
  const atCapacity = await simulateOverload(1);
  const overloaded = await simulateOverload(4);
  t.ok(overloaded.goodput >= 0.9 * atCapacity.goodput);
  const { offered, answered } = overloaded.classes.non_idempotent;
  t.ok(answered >= 0.97 * offered, `${answered} of ${offered}`);
  t.ok(overloaded.classes.idempotent.answered > 0);
});
