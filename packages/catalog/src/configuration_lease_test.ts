import fc from "fast-check";
import t from "tap";
import { Catalog } from "./catalog.ts";
import { answerFeedRequest, type FeedRequest } from "./catalog_feed.ts";
import {
  ConfigurationLease,
  decideWatchConfirmation,
  type Instant,
  shiftInstant,
} from "./configuration_lease.ts";

const SEED = 20261207;

/** The clocks of a VM, each with an origin of its own; a test lets real time pass. */
class Clocks {
  #steadyMs: number;
  #wallMs: number;

  constructor({ steadyMs = 0, wallMs = 0 } = {}) {
    this.#steadyMs = steadyMs;
    this.#wallMs = wallMs;
  }

  readonly read = (): Instant => ({
    steadyMs: this.#steadyMs,
    wallMs: this.#wallMs,
  });

  pass(ms: number): void {
    this.#steadyMs += ms;
    this.#wallMs += ms;
  }

  /** Time passes while the VM is suspended. */
  suspend(ms: number): void {
    this.#wallMs += ms;
  }

  setWallClock(byMs: number): void {
    this.#wallMs += byMs;
  }
}

t.test("should grow from the confirmation, and be infinite before the first", (t) => {
  const clocks = new Clocks();
  const lease = new ConfigurationLease({ readClocks: clocks.read });
  t.equal(lease.ageMs, Infinity);
  clocks.pass(1_000);
  t.equal(lease.confirm(shiftInstant(lease.now(), -300)), Infinity);
  t.equal(lease.ageMs, 300);
  clocks.pass(200);
  t.equal(lease.ageMs, 500);
  t.equal(lease.confirm(shiftInstant(lease.now(), -600)), 0, "an earlier one");
  t.equal(lease.ageMs, 500);
  t.end();
});

// Guards against a VM that comes back from a suspension and takes its version for confirmed a moment ago.
t.test("should count the time in which the VM is suspended, and not be extended by a clock that is set", (t) => {
  const clocks = new Clocks({ wallMs: 1e12 });
  const lease = new ConfigurationLease({ readClocks: clocks.read });
  lease.confirm(lease.now());
  clocks.suspend(5_000);
  t.equal(lease.ageMs, 5_000);
  lease.confirm(lease.now());
  clocks.pass(400);
  clocks.setWallClock(-3_000);
  t.equal(lease.ageMs, 400);
  t.end();
});

t.test("should take a watch for a confirmation of its end only if it ended at its timeout without a change", (t) => {
  const startedAt = { steadyMs: 100, wallMs: 9_000 };
  const decide = (elapsedMs: number, isUnchanged: boolean) =>
    decideWatchConfirmation({ startedAt, waitMs: 750, elapsedMs, isUnchanged });
  t.same(decide(749, true), { steadyMs: 845, wallMs: 9_745 });
  t.same(decide(5_000, true), { steadyMs: 845, wallMs: 9_745 }, "a late one");
  t.same(decide(760, false), startedAt, "the change may be an early one");
  t.same(decide(300, true), startedAt, "it was cut short");
  t.end();
});

const delayMs = fc.oneof(
  fc.integer({ min: 0, max: 20 }),
  fc.integer({ min: 0, max: 3_000 }),
);

/** What one daemon of a chain does between two confirmations. */
const hop = fc.record({
  requestMs: delayMs,
  heldMs: delayMs,
  responseMs: delayMs,
  /** Suspensions of the reader before and while it holds the poll, and of the follower. */
  readerSuspendedMs: fc.constantFrom(0, 0, 700, 4_000),
  heldSuspendedMs: fc.constantFrom(0, 0, 700, 4_000),
  followerSuspendedMs: fc.constantFrom(0, 0, 700, 4_000),
  wallStepMs: fc.constantFrom(0, 0, -5_000, 5_000),
  steadyMs: fc.integer({ min: 0, max: 1e6 }),
  wallMs: fc.integer({ min: 0, max: 1e6 }),
});

// Guards against a daemon that takes an outdated version for the newest one, whatever chain of readers, delays,
// suspensions and clocks its confirmation came through.
t.test("should never be younger than the time since the platform confirmed the version", (t) => {
  fc.assert(
    fc.property(
      fc.record({ watchMs: delayMs, isUnchanged: fc.boolean() }),
      fc.array(hop, { minLength: 1, maxLength: 4 }),
      ({ watchMs, isUnchanged }, hops) => {
        let nowMs = 0;
        const daemons = hops.map(({ steadyMs, wallMs }) =>
          new Clocks({ steadyMs, wallMs })
        );
        const pass = (ms: number, suspended?: Clocks) => {
          nowMs += ms;
          for (const clocks of daemons) {
            if (clocks === suspended) clocks.suspend(ms);
            else clocks.pass(ms);
          }
        };
        const leases = daemons.map((clocks) =>
          new ConfigurationLease({ readClocks: clocks.read })
        );
        const [reader] = leases;
        const startedAt = reader!.now();
        pass(watchMs);
        const waitMs = 750;
        const elapsedMs = reader!.now().steadyMs - startedAt.steadyMs;
        reader!.confirm(
          decideWatchConfirmation({
            startedAt,
            elapsedMs,
            waitMs,
            isUnchanged,
          }),
        );
        // The platform had nothing newer at the end of its wait; of a change it is known only that it came after the begin.
        const confirmedMs = isUnchanged ? Math.min(watchMs, waitMs) : 0;
        for (const [i, follower] of leases.entries()) {
          if (i === 0) continue;
          const told = leases[i - 1]!;
          const step = hops[i]!;
          pass(step.readerSuspendedMs, daemons[i - 1]);
          const pollAt = follower.now();
          pass(step.requestMs);
          const receivedMs = told.now().steadyMs;
          pass(step.heldMs);
          pass(step.heldSuspendedMs, daemons[i - 1]);
          daemons[i - 1]!.setWallClock(Math.max(0, step.wallStepMs));
          const heldMs = told.now().steadyMs - receivedMs;
          const confirmedBeforeMs = told.ageMs - heldMs;
          pass(step.responseMs);
          pass(step.followerSuspendedMs, daemons[i]);
          follower.confirm(shiftInstant(pollAt, -confirmedBeforeMs));
          if (follower.ageMs < nowMs - confirmedMs) {
            throw new Error(`${follower.ageMs} < ${nowMs - confirmedMs}`);
          }
        }
      },
    ),
    { seed: SEED, numRuns: 3_000 },
  );
  t.end();
});

const REQUEST: FeedRequest = {
  version: 0,
  feedId: "f",
  position: 0,
  waitMs: 800,
};

function answer(
  catalog: Catalog,
  options: {
    readonly request?: Partial<FeedRequest>;
    readonly confirmedAgeMs: () => number;
    readonly confirmation?: number;
  },
) {
  return answerFeedRequest({
    catalog,
    feedId: "f",
    request: { ...REQUEST, ...options.request },
    isInContact: () => true,
    readers: () => [],
    confirmedAgeMs: options.confirmedAgeMs,
    confirmation: () => options.confirmation ?? 1,
  });
}

t.test("should tell a follower of the next confirmation at once, without the time for which its poll waited", async (t) => {
  const catalog = new Catalog();
  let confirmedAtMs = performance.now() - 500;
  const startedMs = performance.now();
  const answered = answer(catalog, {
    confirmedAgeMs: () => performance.now() - confirmedAtMs,
  });
  setTimeout(() => {
    confirmedAtMs = performance.now();
    catalog.wakeFollowers();
  }, 200);
  const { confirmedBeforeMs } = await answered;
  t.ok(performance.now() - startedMs < 700, "before the timeout");
  t.ok(confirmedBeforeMs! < -150, `confirmed ${confirmedBeforeMs} ms before`);
});

// Guards against a follower that misses a confirmation between two of its polls, and waits for the next one.
t.test("should answer a follower at once that has missed a confirmation", async (t) => {
  const startedMs = performance.now();
  const told = await answer(new Catalog(), {
    request: { confirmation: 6 },
    confirmedAgeMs: () => 100,
    confirmation: 7,
  });
  t.ok(performance.now() - startedMs < 400);
  t.ok(Math.abs(told.confirmedBeforeMs! - 100) < 100);
  t.equal(told.confirmation, 7);
});

// Guards against a follower that polls without a pause while it has no use for the confirmation, or counts a long way as
// its age.
t.test("should let a follower wait that knows the newest confirmation", async (t) => {
  const startedMs = performance.now();
  await answer(new Catalog(), {
    request: { confirmation: 7, waitMs: 300 },
    confirmedAgeMs: () => 100,
    confirmation: 7,
  });
  t.ok(performance.now() - startedMs >= 290);
});

t.test("should tell no confirmation before the first one", async (t) => {
  const told = await answer(new Catalog(), {
    request: { waitMs: 0 },
    confirmedAgeMs: () => Infinity,
  });
  t.notOk("confirmedBeforeMs" in told, "JSON has no infinite number");
});
