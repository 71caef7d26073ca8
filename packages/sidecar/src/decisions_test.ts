import fc from "fast-check";
import t from "tap";
import {
  decideNextStep,
  type DecideNextStepOptions,
} from "./decide_next_step.ts";
import { decideStopPhase, mayTakeWhileStopping } from "./drain.ts";
import type { ExchangeEnd } from "./exchange.ts";
import {
  decodeTicket,
  decodeVerdict,
  encodeTicket,
  encodeVerdict,
  type ForwardTicket,
  type OwnerVerdict,
} from "./forwarding.ts";
import { classifyUpstreamAnswer } from "./upstream_answer.ts";

const NAMES = {
  requestId: "x-id",
  timeLeftMs: "x-left",
  signature: "x-signature",
  upstreamId: "x-upstream",
  answeringUpstreamId: "x-answering",
  load: "x-load",
  notRun: "x-not-run",
  limitPerSecond: "x-limit",
  leaving: "x-leaving",
  callerService: "x-caller",
  coldMs: "x-cold-ms",
};

function classify(status: number, headers: Record<string, string>) {
  const end: ExchangeEnd = {
    kind: "answered",
    status,
    rawHeaders: [],
    headers,
    body: Buffer.alloc(0),
    durationMs: 1,
  };
  return classifyUpstreamAnswer({ end, requestId: "r1", names: NAMES });
}

t.test("should accept only the upstream's signed answer to this request as a success", (t) => {
  const signed = { "x-id": "r1", "x-signature": "s" };
  t.equal(classify(200, signed).kind, "answered");
  t.equal(classify(500, signed).kind, "answered");
  t.equal(classify(200, { "x-id": "r1" }).kind, "unknown", "not signed");
  t.equal(classify(200, { ...signed, "x-id": "r0" }).kind, "unknown", "late");
  t.equal(
    classify(200, { ...signed, "content-encoding": "gzip" }).kind,
    "unknown",
  );
  t.end();
});

t.test("should report an answered request as not run only if the upstream says so for this request, or answers 421", (t) => {
  t.equal(classify(503, { "x-id": "r1", "x-not-run": "1" }).kind, "not_run");
  t.equal(classify(503, { "x-id": "r0", "x-not-run": "1" }).kind, "unknown");
  t.equal(classify(503, { "x-id": "r1", "x-signature": "s" }).kind, "answered");
  t.equal(classify(421, {}).kind, "not_run");
  t.end();
});

t.test("should report a request as not run if none of its bytes can have been sent", (t) => {
  const verdictOfFailure = (mayHaveBeenSent: boolean) =>
    classifyUpstreamAnswer({
      end: { kind: "failed", failure: "cut", mayHaveBeenSent, durationMs: 1 },
      requestId: "r1",
      names: NAMES,
    }).kind;
  t.equal(verdictOfFailure(false), "not_run");
  t.equal(verdictOfFailure(true), "unknown");
  t.end();
});

function nextStep(options: Partial<DecideNextStepOptions>) {
  const step = decideNextStep({
    verdict: { kind: "unknown", reason: "cut" },
    status: undefined,
    requestClass: "idempotent",
    upstreamsReached: 1,
    maxAttempts: 2,
    timeLeftMs: 1_000,
    neededMs: 100,
    hasUntried: () => true,
    takeToken: () => true,
    ...options,
  });
  return step.kind === "refuse" ? step.reason : step.kind;
}

const refusal = (
  reason: Extract<OwnerVerdict, { kind: "not_run" }>["reason"],
  reachedUpstream: boolean,
): OwnerVerdict => ({
  kind: "not_run",
  reason,
  reachedUpstream,
  retryAfterMs: 10,
});

t.test("should never retry a non-idempotent request that may have run", (t) => {
  const requestClass = "non_idempotent";
  t.equal(nextStep({ requestClass }), "cut");
  const verdict: OwnerVerdict = { kind: "unknown", reason: "deadline" };
  t.equal(nextStep({ requestClass, verdict }), "deadline");
  const answered: OwnerVerdict = { kind: "answered", serviceMs: 1 };
  t.equal(
    nextStep({ requestClass, verdict: answered, status: 500 }),
    "deliver",
  );
  t.end();
});

t.test("should retry a request that certainly did not run, whatever its class", (t) => {
  const requestClass = "non_idempotent";
  const verdict = refusal("upstream_refused", true);
  t.equal(nextStep({ requestClass, verdict }), "try_another");
  t.end();
});

t.test("should take a retry token only if an upstream has received the request", (t) => {
  const takeToken = () => false;
  t.equal(
    nextStep({ verdict: refusal("busy", false), takeToken }),
    "try_another",
  );
  t.equal(
    nextStep({ verdict: refusal("upstream_refused", true), takeToken }),
    "upstream_refused",
  );
  t.end();
});

t.test("should not retry beyond the attempts of the route, without enough time or another upstream, or if cancelled", (t) => {
  t.equal(nextStep({ upstreamsReached: 2 }), "cut");
  t.equal(nextStep({ timeLeftMs: 40 }), "cut");
  t.equal(nextStep({ hasUntried: () => false }), "cut");
  const verdict: OwnerVerdict = { kind: "unknown", reason: "cancelled" };
  t.equal(nextStep({ verdict }), "cut");
  t.end();
});

t.test("should decode tickets and verdicts as they were encoded", (t) => {
  const ticket: ForwardTicket = {
    upstreamId: "u,1",
    service: "shop",
    route: "r/1",
    requestClass: "non_idempotent",
    rank: 2,
    timeLeftMs: 900,
    objectiveLeftMs: -20,
    isNested: true,
    callerService: "web",
    version: 12,
    mayWait: true,
  };
  t.same(decodeTicket(encodeTicket(ticket)), ticket);
  t.equal(decodeTicket("1,2"), undefined);
  const verdict = refusal("busy", false);
  const state = {
    load: {
      running: 3,
      slots: 4,
      waitingByRank: [0, 1, 2, 0, 0],
      serviceTimeMs: 80,
    },
    version: 12,
    revision: 99,
  };
  t.same(decodeVerdict(encodeVerdict(verdict, state)), { verdict, state });
  t.equal(decodeVerdict("maybe,,,,,,,,,"), undefined);
  t.end();
});

// Guards against a reason that no table has, with which a caller's request was answered by an exception and the
// process ended, and against names that every object has.
t.test("should not decode a verdict of an unknown kind or with an unknown reason", (t) => {
  const rest = "1,10,3,4,0:1,80,12,99";
  t.ok(decodeVerdict(`not_run,busy,${rest}`));
  t.ok(decodeVerdict(`unknown,cut,${rest}`));
  t.ok(decodeVerdict(`answered,,${rest}`));
  const malformed = [
    "not_run,bored",
    "not_run,",
    "not_run,cut",
    "not_run,constructor",
    "unknown,bored",
    "unknown,busy",
    "maybe,busy",
    "__proto__,busy",
    "constructor,busy",
    "toString,busy",
  ];
  for (const start of malformed) {
    t.doesNotThrow(
      () => t.equal(decodeVerdict(`${start},${rest}`), undefined, start),
      start,
    );
  }
  t.end();
});

// Guards against refusing callers before they can see the failing readiness check, and against
// accepting forwarded requests too late to end before the process is killed.
t.test("should accept all requests, then only those of its callers, then none while it stops", (t) => {
  const phaseAfter = (stoppingForMs: number) =>
    decideStopPhase({
      stoppingForMs,
      drainTimeoutMs: 6_000,
      isDrained: false,
    });
  t.same(phaseAfter(0), { acceptsForwarded: true, acceptsNew: true });
  t.same(phaseAfter(1_600), { acceptsForwarded: true, acceptsNew: true });
  t.same(phaseAfter(1_800), { acceptsForwarded: false, acceptsNew: true });
  t.same(phaseAfter(2_600), { acceptsForwarded: false, acceptsNew: true });
  t.same(phaseAfter(2_800), { acceptsForwarded: false, acceptsNew: false });
  t.end();
});

/** Time after the stop signal up to which a request may be sent that is cut in the last sixth of the grace. */
const MAY_BE_CUT_MS = 3_000;

// Guards against requests that are cut although the platform allows it only for those that were sent early.
t.test("should take no request whose run might be cut when it may not be", (t) => {
  fc.assert(
    fc.property(
      fc.constantFrom(3_000, 6_000, 10_000, 30_000),
      fc.integer({ min: 0, max: 30_000 }),
      fc.integer({ min: 0, max: 20_000 }),
      fc.boolean(),
      fc.boolean(),
      (drainTimeoutMs, stoppingForMs, timeLeftMs, isNested, isDrained) => {
        const isTaken = mayTakeWhileStopping({
          drainTimeoutMs,
          stoppingForMs,
          timeLeftMs,
          isNested,
          isDrained,
        });
        const drainEndMs = drainTimeoutMs - 400;
        const mightBeCut = stoppingForMs + timeLeftMs > drainEndMs;
        const isEarly = stoppingForMs < MAY_BE_CUT_MS;
        if (isTaken && isDrained) return false;
        return !isTaken || !mightBeCut ||
          isEarly && drainEndMs >= drainTimeoutMs * 5 / 6;
      },
    ),
    { seed: 20261207, numRuns: 5_000 },
  );
  t.end();
});

t.test("should take requests in a stop by what is left of the drain", (t) => {
  const mayTake = (
    drainTimeoutMs: number,
    stoppingForMs: number,
    timeLeftMs: number,
    isNested = false,
  ) =>
    mayTakeWhileStopping({
      drainTimeoutMs,
      stoppingForMs,
      timeLeftMs,
      isNested,
      isDrained: false,
    });
  t.equal(mayTake(3_000, 1_300, 8_000), true, "clients have not seen it yet");
  t.equal(mayTake(3_000, 1_400, 500), false);
  t.equal(mayTake(6_000, 2_600, 8_000), true);
  t.equal(mayTake(6_000, 2_800, 500), false, "the stop is to end");
  t.equal(mayTake(6_000, 4_900, 500, true), true, "its parent still runs");
  t.equal(mayTake(6_000, 5_100, 500, true), false, "cut before its deadline");
  t.equal(mayTake(10_000, 2_600, 8_000), true);
  t.equal(mayTake(10_000, 2_800, 8_000), false);
  t.equal(mayTake(10_000, 2_800, 6_000), true);
  t.equal(mayTake(10_000, 4_600, 500), false);
  t.equal(mayTake(30_000, 12_000, 8_000), true);
  t.equal(mayTake(30_000, 12_000, 18_000), false);
  t.end();
});
