import t, { type Test } from "tap";
import { MemoryBudget } from "./memory_budget.ts";
import { memoryLimits } from "./memory_limits.ts";

const MB = 1_000_000;

function setUp() {
  return new MemoryBudget({
    answers: { maxBufferedBytes: MB, maxAnswerBytes: MB },
    heads: { headBytes: MB, headBytesOfUse: MB },
    bodyBytes: 100 * MB,
    bodyBytesOfUse: 75 * MB,
    replyBytes: MB,
  });
}

// Load: eight clients of a VM upload 30 MB each at once.
t.test("should take the uploads that fit and refuse the others", (t: Test) => {
  const budget = setUp();
  const leases = Array.from(
    { length: 8 },
    () => budget.reserveBody("caller_bodies", 30 * MB),
  );
  const taken = leases.filter((lease) => lease !== undefined);
  t.equal(taken.length, 2);
  t.equal(budget.refusals("caller_bodies"), 6);
  for (const lease of taken) lease.close();
  t.equal(budget.usedBytes("caller_bodies"), 0);
  t.ok(budget.reserveBody("caller_bodies", 30 * MB), "room is given back");
  t.end();
});

// Load: uploads of this VM's callers fill the memory while other daemons forward to its upstream.
t.test("should leave room for forwarded bodies", (t: Test) => {
  const budget = setUp();
  for (let i = 0; i < 100; i += 1) {
    budget.reserveBody("caller_bodies", MB);
  }
  t.ok(budget.reserveBody("forwarded_bodies", 5 * MB));
  t.end();
});

// Load: uploads fill the memory while small requests arrive.
t.test("should leave room for small bodies, unless one large body needs it", (t: Test) => {
  const budget = setUp();
  for (let i = 0; i < 100; i += 1) {
    budget.reserveBody("caller_bodies", MB);
    budget.reserveBody("forwarded_bodies", MB);
  }
  t.ok(budget.reserveBody("caller_bodies", 60_000));
  t.ok(budget.reserveBody("forwarded_bodies", 60_000));
  t.ok(setUp().reserveBody("caller_bodies", 75 * MB), "a single large body");
  t.end();
});

// Guards against a count that only grows, after which every body would be refused.
t.test("should count a body that grows once, and no longer after it is closed", (t: Test) => {
  const budget = setUp();
  const lease = budget.reserveBody("caller_bodies", 10)!;
  t.ok(lease.resize(50 * MB));
  t.notOk(lease.resize(76 * MB), "beyond the limit of the use");
  t.equal(lease.sizeBytes, 50 * MB, "as before");
  lease.close();
  lease.close();
  t.notOk(lease.resize(10));
  t.equal(budget.usedBytes("caller_bodies"), 0);
  t.equal(budget.freeBytes("caller_bodies"), 75 * MB);
  t.end();
});

t.test("should divide the memory so that all uses together stay below the limit", (t: Test) => {
  for (const memoryLimitBytes of [178 * MB, 250 * MB, 350 * MB, 602 * MB]) {
    const heapLimitBytes = 53 * MB;
    const { bodyBytes, bodyBytesOfUse, answers } = memoryLimits({
      memoryLimitBytes,
      heapLimitBytes,
    });
    const togetherBytes = bodyBytes + 1.5 * answers.maxBufferedBytes +
      heapLimitBytes;
    t.ok(togetherBytes < memoryLimitBytes - 50 * MB, `${memoryLimitBytes}`);
    t.ok(bodyBytes >= 4 * MB && bodyBytesOfUse < bodyBytes);
  }
  t.end();
});
