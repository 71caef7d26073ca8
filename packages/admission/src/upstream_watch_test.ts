import fc from "fast-check";
import t from "tap";
import { VirtualClock } from "@tanagercove/test_helpers";
import {
  decideSilence,
  decideTrial,
  type SilenceChange,
  UpstreamWatch,
} from "./index.ts";

const SEED = 20_261_204;
t.comment(`seed ${SEED}`);

const SLOTS = 10;

const silenceOptions = fc.record({
  awaitedMs: fc.nat(60_000),
  unansweredCount: fc.nat(50),
  slots: fc.integer({ min: 1, max: 20 }),
  slowestAnswerMs: fc.option(fc.nat(20_000), { nil: undefined }),
  probe: fc.constantFrom("answered", "unanswered", "none"),
});

// Guards against mistaking a slow upstream for a silent one.
t.test("should detect silence only with several unanswered requests, far beyond the slowest answer time, and after 5 s unless probes fail", (t) => {
  fc.assert(
    fc.property(silenceOptions, (options) => {
      const { awaitedMs, slowestAnswerMs = 0, probe } = options;
      const later = { ...options, awaitedMs: awaitedMs + 1 };
      if (decideSilence(options) !== "silent") return true;
      return decideSilence(later) === "silent" &&
        options.unansweredCount >= Math.min(options.slots, 3) &&
        awaitedMs >= Math.max(500, 4 * slowestAnswerMs) &&
        (options.slowestAnswerMs !== undefined || awaitedMs >= 1_500) &&
        (probe === "unanswered" ||
          (awaitedMs >= 5_000 && options.slowestAnswerMs !== undefined));
    }),
    { seed: SEED, numRuns: 5_000 },
  );
  t.end();
});

// Guards against trials that fail many callers' requests, and against an upstream that is never tried again.
t.test("should allow trials with idempotent requests first, then with others, and at last without an answered probe", (t) => {
  const idempotentMs = firstTrialMs({ idempotent: true, probeAnswered: true });
  const nonIdempotentMs = firstTrialMs({
    idempotent: false,
    probeAnswered: true,
  });
  const withoutProbeMs = firstTrialMs({
    idempotent: false,
    probeAnswered: false,
  });
  t.ok(
    0 < idempotentMs && idempotentMs < nonIdempotentMs &&
      nonIdempotentMs < withoutProbeMs,
  );
  t.ok(
    nonIdempotentMs < 3_000,
    "gets work within 3 s once probes are answered",
  );
  t.end();
});

function firstTrialMs(
  options: { readonly idempotent: boolean; readonly probeAnswered: boolean },
): number {
  let sinceTrialMs = 0;
  while (decideTrial({ ...options, sinceTrialMs }) === "refuse") {
    sinceTrialMs += 100;
  }
  return sinceTrialMs;
}

/** A simulated upstream on a virtual clock; gets a request every `everyMs` if a slot is free and the watch admits it. */
function setUp(
  {
    everyMs = 20,
    deadlineMs = 5_000,
    slots = SLOTS,
    serviceMs = 30,
    probeMs = 6,
    firstAtMs = 0,
  } = {},
) {
  const clock = new VirtualClock();
  const changes: SilenceChange[] = [];
  const watch = new UpstreamWatch({
    slots,
    clock,
    onChange: (change) => void changes.push(change),
  });
  const upstream = {
    serviceMs,
    probeMs,
    frozen: false,
    answersProbesWhileFrozen: false,
  };
  let running = 0;
  let sent = 0;

  function send(): void {
    if (running < slots && watch.admits({ idempotent: true })) {
      running += 1;
      sent += 1;
      watch.begin();
      const { serviceMs } = upstream;
      const isLate = upstream.frozen || serviceMs > deadlineMs;
      clock.setTimer(() => {
        running -= 1;
        watch.end(isLate ? "abandoned" : "answered", serviceMs);
      }, isLate ? deadlineMs : serviceMs);
    }
    clock.setTimer(send, everyMs);
  }
  let nextProbe: { cancel(): void } | undefined;
  watch.onProbeRequested(() => {
    if (nextProbe === undefined) return;
    nextProbe.cancel();
    probe();
  });
  function probe(): void {
    nextProbe = undefined;
    watch.probeStarted();
    const isAnswered = upstream.probeMs < 500 &&
      (!upstream.frozen || upstream.answersProbesWhileFrozen);
    clock.setTimer(() => {
      watch.probeEnded(isAnswered);
      nextProbe = clock.setTimer(probe, watch.isSilent ? 250 : 1_000);
    }, isAnswered ? upstream.probeMs : 500);
  }
  probe();
  clock.setTimer(send, firstAtMs);
  return { clock, changes, watch, upstream, sentCount: () => sent };
}

// Guards against refusals for an upstream that is slow, suddenly becomes slow, or is slow to answer probes.
t.test("should never detect silence of an upstream that answers slowly", async (t) => {
  const cases = [
    { first: 30, then: 400 },
    { first: 30, then: 3_000 },
    { first: 3_000, then: 3_000 },
    { first: 400, then: 4_500 },
  ];
  for (const { first, then } of cases) {
    for (const probeMs of [6, 300, 10_000]) {
      for (const everyMs of [5, 150, 1_000]) {
        const serviceMs = first;
        const { clock, changes, upstream } = setUp({
          everyMs,
          serviceMs,
          probeMs,
        });
        await clock.advance(8_000);
        upstream.serviceMs = then;
        await clock.advance(12_000);
        t.same(changes, [], `${first} to ${then} ms, probes ${probeMs} ms`);
      }
    }
  }
});

// Guards against a frozen upstream that keeps its slots occupied, trials that are bound to fail, and a late
// return to service.
t.test("should detect a frozen upstream within 1 s and admit requests again within 1 s after it thaws", async (t) => {
  for (const everyMs of [5, 20, 100]) {
    const { clock, changes, watch, upstream, sentCount } = setUp({
      everyMs,
      deadlineMs: 1_000,
    });
    await clock.advance(4_321);
    upstream.frozen = true;
    await clock.advance(1_000);
    t.equal(changes.at(-1)?.state, "silent");
    const sent = sentCount();
    await clock.advance(8_000);
    t.equal(sentCount(), sent, "no trial while probes are unanswered");
    upstream.frozen = false;
    await clock.advance(1_000);
    t.equal(changes.at(-1)?.state, "answering");
    t.same(watch.state().silences, 1);
  }
});

// Guards against one probe that fails during a short stall of the host and delays the detection of the next
// freeze to 5 s.
t.test("should detect a frozen upstream within 1 s even after a single unanswered probe", async (t) => {
  const { clock, changes, upstream } = setUp({ deadlineMs: 1_000 });
  await clock.advance(2_900);
  upstream.probeMs = 600;
  await clock.advance(200);
  upstream.probeMs = 6;
  await clock.advance(600);
  t.same(changes, []);
  upstream.frozen = true;
  await clock.advance(1_000);
  t.equal(changes.at(-1)?.state, "silent");
});

// Guards against an outage of more than 3 s for callers when the upstream freezes before any answer was measured.
t.test("should take 1.5 s to detect an upstream that freezes before its first answer", async (t) => {
  const { clock, changes, upstream } = setUp({ firstAtMs: 2_500 });
  await clock.advance(2_000);
  upstream.frozen = true;
  await clock.advance(500 + 1_450);
  t.same(changes, []);
  await clock.advance(500);
  t.equal(changes.at(-1)?.state, "silent");
});

// Guards against relying on a health endpoint that answers although the upstream answers no requests.
t.test("should take 5 s to detect a frozen upstream that still answers probes, then try it once a second", async (t) => {
  const { clock, changes, upstream, sentCount } = setUp({ deadlineMs: 1_000 });
  await clock.advance(4_321);
  Object.assign(upstream, { frozen: true, answersProbesWhileFrozen: true });
  await clock.advance(4_900);
  t.same(changes, []);
  await clock.advance(600);
  t.equal(changes.length, 1);
  const sent = sentCount();
  await clock.advance(10_000);
  t.ok(sentCount() - sent <= 10 && sentCount() - sent >= 8);
  upstream.frozen = false;
  await clock.advance(1_500);
  t.equal(changes.at(-1)?.state, "answering");
});

// Guards against detecting silence after a pause of the daemon itself, when answers have arrived but are not read yet.
t.test("should not count the time of a pause of its own process", async (t) => {
  const { clock, changes, upstream } = setUp();
  upstream.serviceMs = 50;
  await clock.advance(3_010);
  clock.pause(20_000);
  await clock.advance(2_000);
  t.same(changes, []);
});
