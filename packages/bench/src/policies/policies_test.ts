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
  t.ok(during.requests > 4_000, "over 1,000 requests per caller on average");
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

// Guards against owner daemons that keep filling the slots and queues of frozen upstreams, and that
// return upstreams to service late after the failure.
t.test("should answer no less with owner than with direct while a third of the upstreams are frozen or hang", async (t) => {
  for (const failure of ["frozen", "hangs"] as const) {
    for (const load of [0.3, 0.6]) {
      const options = { ...SERVICE, load, failure, failingCount: 2 };
      const direct = await simulateService(options);
      const owner = await simulateService({ ...options, division: "owner" });
      const [directShare, ownerShare] = [
        direct.during.answered,
        owner.during.answered,
      ];
      // With either division callers eject hanging upstreams, so both answer the same share up to random variation.
      const standardError = Math.sqrt(
        directShare * (1 - directShare) / direct.during.requests,
      );
      const tolerance = failure === "frozen" ? 0 : 2 * standardError;
      t.ok(
        ownerShare >= directShare - tolerance,
        `${failure}: ${ownerShare}, ${directShare}`,
      );
      t.ok(owner.during.attemptsPerRequest <= 1.1);
      t.ok(owner.after.answered >= 0.99, `${owner.after.answered}`);
      t.equal(owner.before.silences + owner.after.silences, 0);
      if (failure === "frozen") t.equal(owner.during.silences, 2);
    }
  }
});

// Guards against refusing requests to an upstream that works but is overloaded and slow.
t.test("should never treat as silent an upstream that takes 400 ms and is offered more than ten times its capacity", async (t) => {
  const figures = await simulateService({
    ...SERVICE,
    division: "owner",
    choice: "round_robin",
    slowness: 20,
  });
  for (const { silences } of Object.values(figures)) t.equal(silences, 0);
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

// Guards against a queue that spends its slots on requests that miss their deadlines.
t.test("should keep 90 % of the goodput at four times the capacity, and serve non-idempotent requests first", async (t) => {
  const atCapacity = await simulateOverload(1);
  const overloaded = await simulateOverload(4);
  t.ok(overloaded.goodput >= 0.9 * atCapacity.goodput);
  const { offered, answered } = overloaded.classes.non_idempotent;
  t.ok(answered >= 0.97 * offered, `${answered} of ${offered}`);
  t.ok(overloaded.classes.idempotent.answered > 0);
});
