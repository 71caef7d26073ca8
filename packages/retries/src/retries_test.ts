import fc from "fast-check";
import t from "tap";
import type { Outcome, Reason } from "@tanagercove/types";
import { decideRetry, RetryBudget } from "./index.ts";

const SEED = 20_261_204;
t.comment(`seed ${SEED}`);

const REASONS: readonly Reason[] = [
  "customer_unknown",
  "service_not_known",
  "no_upstream",
  "leaving",
  "queue_full",
  "shed",
  "connect_failed",
  "cut",
  "answer_truncated",
  "deadline",
];
const attempts = fc.record({
  outcome: fc.constantFrom<Outcome>("answered", "not_run", "unknown"),
  reason: fc.constantFrom(undefined, ...REASONS),
  idempotent: fc.boolean(),
  attempt: fc.integer({ min: 1, max: 5 }),
  timeLeftMs: fc.integer({ min: -10, max: 5_000 }),
});

// Guards against a deposit that runs twice, and against retries after an answer or past the deadline.
t.test("should retry only what did not run or is idempotent, twice at most and within the deadline", (t) => {
  fc.assert(
    fc.property(attempts, (options) => {
      const budget = new RetryBudget();
      if (decideRetry({ ...options, budget }) === "give_up") return true;
      return options.outcome !== "answered" && options.attempt <= 2 &&
        options.timeLeftMs > 0 &&
        (options.outcome === "not_run" || options.idempotent);
    }),
    { seed: SEED, numRuns: 5_000 },
  );
  t.end();
});

// Guards against retrying at one upstream after another when the lists forbid the request.
t.test("should retry a refused connection elsewhere but never a refusal by the lists", (t) => {
  const options = {
    outcome: "not_run",
    idempotent: false,
    attempt: 1,
    timeLeftMs: 100,
    budget: { tryTake: () => true },
  } as const;
  t.equal(decideRetry({ ...options, reason: "connect_failed" }), "retry");
  t.equal(decideRetry({ ...options, reason: "customer_unknown" }), "give_up");
  t.end();
});

// Guards against retries that multiply the load during an outage.
t.test("should allow at most 1.1 attempts per request from 100 requests on, in any order of requests and retries", (t) => {
  fc.assert(
    fc.property(
      fc.array(fc.boolean(), { minLength: 200, maxLength: 2_000 }),
      (steps) => {
        const budget = new RetryBudget();
        let requests = 0;
        let retries = 0;
        for (const isRequest of steps) {
          if (isRequest) {
            budget.recordFirstAttempt();
            requests += 1;
          } else if (budget.tryTake()) retries += 1;
          if (requests >= 100 && retries > requests * 0.1 + 1e-6) return false;
        }
        return retries <= 2 + requests * 0.08 + 1e-6;
      },
    ),
    { seed: SEED },
  );
  t.end();
});

// Guards against a burst of retries after a long time without any.
t.test("should hold at most ten tokens", (t) => {
  const budget = new RetryBudget();
  for (let i = 0; i < 10_000; i += 1) budget.recordFirstAttempt();
  let retries = 0;
  while (budget.tryTake()) retries += 1;
  t.equal(retries, 10);
  t.end();
});

// Guards against requests that are not retried but use up tokens.
t.test("should take no token when another reason prevents the retry", (t) => {
  let taken = 0;
  const budget = { tryTake: () => (taken += 1) > 0 };
  decideRetry({
    outcome: "unknown",
    reason: "cut",
    idempotent: false,
    attempt: 1,
    timeLeftMs: 100,
    budget,
  });
  t.equal(taken, 0);
  t.end();
});
