import fc from "fast-check";
import t from "tap";
import { VirtualClock } from "@tanagercove/test_helpers";
import {
  AdmissionQueue,
  type AdmissionQueueOptions,
  type AdmissionRequest,
  type QueueOrder,
} from "./index.ts";

const SEED = 20_261_204;
t.comment(`seed ${SEED}`);

/**
 * A queue on a virtual clock; `log` gets "NAME run" or "NAME REFUSAL" once a request is admitted or refused.
 * Requests whose name starts with "browse" are idempotent; all others are not.
 */
function setUp(options: Partial<AdmissionQueueOptions> = {}) {
  const clock = new VirtualClock();
  const queue = new AdmissionQueue({
    slots: 1,
    queueOrder: "oldest_first",
    clock,
    ...options,
  });
  const log: string[] = [];
  const running: (() => void)[] = [];
  const startedAtMs: number[] = [];
  const admit = (name: string, request: Partial<AdmissionRequest> = {}) => {
    const idempotent = name.startsWith("browse");
    void queue.admit({ idempotent, deadlineMs: 5_000, ...request })
      .then((verdict) => {
        log.push(`${name} ${verdict.isOk ? "run" : verdict.error}`);
        if (verdict.isErr) return;
        running.push(verdict.value.release);
        startedAtMs.push(clock.nowMs());
      });
  };
  /** Ends the oldest running request and lets the next one start. */
  const finish = async () => {
    await clock.advance(0);
    running.shift()?.();
    await clock.advance(0);
  };
  return { clock, queue, log, running, startedAtMs, admit, finish };
}

const step = fc.oneof(
  {
    weight: 10,
    arbitrary: fc.record({
      kind: fc.constant("admit" as const),
      name: fc.constantFrom("browse", "deposit"),
      deadlineMs: fc.integer({ min: -1, max: 2_000 }),
    }),
  },
  { weight: 4, arbitrary: fc.constant({ kind: "finish" as const }) },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant("wait" as const),
      ms: fc.nat(400),
    }),
  },
  { weight: 1, arbitrary: fc.constant({ kind: "leave" as const }) },
);
const steps = fc.array(step, { maxLength: 60, size: "max" });
const settings = fc.record({
  slots: fc.integer({ min: 1, max: 3 }),
  queueLength: fc.nat(5),
  queueOrder: fc.constantFrom<QueueOrder>("newest_first", "oldest_first"),
  idempotentGrantEvery: fc.constantFrom(0, 2, 8),
});

// Guards against running more requests than there are slots, an unbounded queue, slots that stay idle while
// requests wait, requests that are neither admitted nor refused, and starts after the grace time of a leaving VM.
t.test("should keep its bounds and admit or refuse each request once and in time, in any order of events", async () => {
  await fc.assert(
    fc.asyncProperty(settings, steps, async (settings, steps) => {
      const { clock, queue, log, running, startedAtMs, admit, finish } = setUp({
        ...settings,
        queueTimeoutMs: 800,
        leavingGraceMs: 300,
      });
      let admitted = 0;
      let leftAtMs = Infinity;
      for (const step of steps) {
        if (step.kind === "admit") {
          admit(step.name, { deadlineMs: step.deadlineMs });
          admitted += 1;
        } else if (step.kind === "finish") await finish();
        else if (step.kind === "wait") await clock.advance(step.ms);
        else {
          queue.setLeaving();
          leftAtMs = Math.min(leftAtMs, clock.nowMs());
        }
        await clock.advance(0);
        const { idempotent, non_idempotent } = queue.waitingCounts;
        const waiting = idempotent + non_idempotent;
        if (queue.runningCount > settings.slots) return false;
        if (waiting > settings.queueLength) return false;
        if (waiting > 0 && queue.runningCount < settings.slots) return false;
      }
      await clock.advance(801);
      if (log.length !== admitted) return false;
      for (const release of running) release();
      await queue.close();
      return queue.runningCount === 0 &&
        startedAtMs.every((atMs) => atMs <= leftAtMs + 300);
    }),
    { seed: SEED, numRuns: 500 },
  );
});

// Guards against deposits that wait behind browsing requests, or are refused while browsing requests hold more than
// the one queue entry reserved for them.
t.test("should serve non-idempotent requests first and displace idempotent ones from a full queue, the newest first", async (t) => {
  const { log, admit, finish } = setUp({ queueLength: 3 });
  for (const name of ["browse0", "browse1", "browse2", "browse3"]) admit(name);
  admit("deposit1");
  admit("deposit2");
  admit("deposit3");
  for (let i = 0; i < 4; i += 1) await finish();
  t.same(log, [
    "browse0 run",
    "browse3 queue_full",
    "browse2 queue_full",
    "deposit3 queue_full",
    "deposit1 run",
    "deposit2 run",
    "browse1 run",
  ]);
});

// Guards against refusing a deposit to keep a queue entry for browsing requests although `idempotentGrantEvery` is 0.
t.test("should reserve no queue entry for idempotent requests under strict priority", async (t) => {
  const { log, admit, finish } = setUp({
    queueLength: 2,
    idempotentGrantEvery: 0,
  });
  for (const name of ["browse0", "browse1", "deposit1", "deposit2"]) {
    admit(name);
  }
  await finish();
  t.same(log, ["browse0 run", "browse1 queue_full", "deposit1 run"]);
});

// Guards against starvation of browsing requests while deposits keep arriving.
t.test("should give every n-th slot to a waiting idempotent request", async (t) => {
  const { log, admit, finish } = setUp({
    queueLength: 4,
    idempotentGrantEvery: 4,
  });
  admit("deposit");
  for (let i = 0; i < 40; i += 1) {
    admit("deposit");
    admit("deposit");
    admit("browse");
    await finish();
  }
  t.equal(log.filter((line) => line === "browse run").length, 10);
});

// Guards against a queue order that differs from the setting.
t.test("should serve and refuse within a class by the queue order", async (t) => {
  const expected: Record<QueueOrder, string> = {
    newest_first: "d0 run,d1 queue_full,d3 run,d2 run",
    oldest_first: "d0 run,d3 queue_full,d1 run,d2 run",
  };
  for (const queueOrder of ["newest_first", "oldest_first"] as const) {
    const { log, admit, finish } = setUp({
      queueOrder,
      queueLength: 2,
      idempotentGrantEvery: 0,
    });
    for (const name of ["d0", "d1", "d2", "d3"]) admit(name);
    for (let i = 0; i < 3; i += 1) await finish();
    t.equal(log.join(), expected[queueOrder]);
  }
});

// Guards against a caller that waits although it is sure to be refused, and then has no time left to try another
// upstream.
t.test("should refuse at once when the predicted wait leaves too little time or is too long", async (t) => {
  const { clock, log, admit, finish } = setUp({ queueTimeoutMs: 250 });
  admit("deposit0");
  await clock.advance(100);
  await finish();
  admit("deposit1");
  admit("deposit2", { deadlineMs: 199 });
  admit("deposit3", { deadlineMs: 201 });
  admit("deposit4", { deadlineMs: 299 });
  admit("deposit5");
  admit("deposit6");
  await clock.advance(0);
  t.same(log.slice(1), [
    "deposit1 run",
    "deposit2 deadline",
    "deposit4 deadline",
    "deposit6 queue_timeout",
  ]);
  await clock.advance(250);
  t.same(log.slice(5), ["deposit3 deadline", "deposit5 queue_timeout"]);
});

// Guards against a deposit that starts too late to finish by its deadline and ends with an unknown outcome.
t.test("should refuse a waiting request that has less time left than the median service time", async (t) => {
  const { clock, log, admit, finish } = setUp();
  // The median stays close to 100 ms after one request of 1,000 ms.
  for (const ms of [100, 100, 100, 1_000]) {
    admit("deposit0");
    await clock.advance(ms);
    await finish();
  }
  log.length = 0;
  admit("deposit1");
  admit("deposit2", { deadlineMs: 400 });
  await clock.advance(280);
  await finish();
  admit("deposit3", { deadlineMs: 400 });
  admit("deposit4");
  await clock.advance(320);
  await finish();
  t.same(log, [
    "deposit1 run",
    "deposit2 run",
    "deposit3 deadline",
    "deposit4 run",
  ]);
});

// Guards against new work on a leaving upstream, and against refusing queued requests that would soon get a slot.
t.test("should refuse new requests when leaving, serve waiting ones for a second, then refuse them", async (t) => {
  const { clock, queue, log, admit, finish } = setUp({ queueTimeoutMs: 4_000 });
  for (const name of ["deposit0", "deposit1", "deposit2"]) admit(name);
  queue.setLeaving();
  admit("deposit3");
  await finish();
  t.same(log, ["deposit0 run", "deposit3 leaving", "deposit1 run"]);
  await clock.advance(1_001);
  t.equal(log[3], "deposit2 leaving");
});

// Guards against a shutdown that interrupts requests or never ends.
t.test("should refuse waiting requests and wait for running ones on close", async (t) => {
  const { clock, queue, log, running, admit } = setUp();
  admit("deposit0");
  admit("deposit1");
  await clock.advance(0);
  let isClosed = false;
  const closed = queue.close().then(() => {
    isClosed = true;
  });
  await clock.advance(0);
  t.same(log, ["deposit0 run", "deposit1 leaving"]);
  t.notOk(isClosed);
  running[0]!();
  await closed;
});

// Guards against a slot that is freed twice, and queue entries kept for callers that have disconnected.
t.test("should free a slot only once, and a queue entry when the caller disconnects", async (t) => {
  const { clock, queue, log, running, admit } = setUp();
  const caller = new AbortController();
  admit("deposit0");
  admit("deposit1", { signal: caller.signal });
  admit("deposit2");
  await clock.advance(0);
  caller.abort();
  admit("deposit3", { signal: caller.signal });
  running[0]!();
  running[0]!();
  await clock.advance(0);
  t.same(log.slice(1).sort(), [
    "deposit1 deadline",
    "deposit2 run",
    "deposit3 deadline",
  ]);
  t.equal(queue.runningCount, 1);
});
