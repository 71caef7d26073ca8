import t from "tap";
import {
  decideNextStep,
  type DecideNextStepOptions,
} from "./decide_next_step.ts";
import { decideStopPhase } from "./drain.ts";
import type { ExchangeEnd } from "./exchange.ts";
import {
  decodeTicket,
  decodeVerdict,
  encodeTicket,
  encodeVerdict,
  type ForwardTicket,
  type OwnerVerdict,
} from "./forwarding.ts";
import { judgeUpstreamAnswer } from "./upstream_answer.ts";

const NAMES = {
  requestId: "x-id",
  timeLeftMs: "x-left",
  signature: "x-signature",
  upstreamId: "x-upstream",
  answeringUpstreamId: "x-answering",
  load: "x-load",
  notRun: "x-not-run",
  callerService: "x-caller",
};

function judge(status: number, headers: Record<string, string>) {
  const end: ExchangeEnd = {
    kind: "answered",
    status,
    rawHeaders: [],
    headers,
    body: Buffer.alloc(0),
    durationMs: 1,
  };
  return judgeUpstreamAnswer({ end, requestId: "r1", names: NAMES });
}

t.test("should take only the upstream's own signed answer to this request for a success", (t) => {
  const signed = { "x-id": "r1", "x-signature": "s" };
  t.equal(judge(200, signed).kind, "answered");
  t.equal(judge(500, signed).kind, "answered");
  t.equal(judge(200, { "x-id": "r1" }).kind, "unknown", "not signed");
  t.equal(judge(200, { ...signed, "x-id": "r0" }).kind, "unknown", "late");
  t.equal(
    judge(200, { ...signed, "content-encoding": "gzip" }).kind,
    "unknown",
  );
  t.end();
});

t.test("should say that a request has not run only on the upstream's word for this request", (t) => {
  t.equal(judge(503, { "x-id": "r1", "x-not-run": "1" }).kind, "not_run");
  t.equal(judge(503, { "x-id": "r0", "x-not-run": "1" }).kind, "unknown");
  t.equal(judge(503, { "x-id": "r1", "x-signature": "s" }).kind, "answered");
  t.equal(judge(421, {}).kind, "not_run");
  t.end();
});

t.test("should say that a request has not run if its bytes cannot have left", (t) => {
  const failed = (mayHaveLeft: boolean) =>
    judgeUpstreamAnswer({
      end: { kind: "failed", failure: "cut", mayHaveLeft, durationMs: 1 },
      requestId: "r1",
      names: NAMES,
    }).kind;
  t.equal(failed(false), "not_run");
  t.equal(failed(true), "unknown");
  t.end();
});

function next(options: Partial<DecideNextStepOptions>) {
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

t.test("should never repeat a request that may have run and is not idempotent", (t) => {
  const requestClass = "non_idempotent";
  t.equal(next({ requestClass }), "cut");
  const verdict: OwnerVerdict = { kind: "unknown", reason: "deadline" };
  t.equal(next({ requestClass, verdict }), "deadline");
  const answered: OwnerVerdict = { kind: "answered", serviceMs: 1 };
  t.equal(next({ requestClass, verdict: answered, status: 500 }), "deliver");
  t.end();
});

t.test("should repeat a request that certainly did not run, whatever its class", (t) => {
  const requestClass = "non_idempotent";
  const verdict = refusal("upstream_refused", true);
  t.equal(next({ requestClass, verdict }), "try_another");
  t.end();
});

t.test("should take a token for a repeat only if an upstream has seen the request", (t) => {
  const takeToken = () => false;
  t.equal(
    next({ verdict: refusal("busy", false), takeToken }),
    "try_another",
  );
  t.equal(
    next({ verdict: refusal("upstream_refused", true), takeToken }),
    "upstream_refused",
  );
  t.end();
});

t.test("should stop at the attempts of the route, without time, or with no other upstream", (t) => {
  t.equal(next({ upstreamsReached: 2 }), "cut");
  t.equal(next({ timeLeftMs: 40 }), "cut");
  t.equal(next({ hasUntried: () => false }), "cut");
  const verdict: OwnerVerdict = { kind: "unknown", reason: "cancelled" };
  t.equal(next({ verdict }), "cut");
  t.end();
});

t.test("should read tickets and verdicts as they were written", (t) => {
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

// Guards against refusing callers before they can see the failing readiness check, and against
// accepting forwarded requests too late to end before the process is killed.
t.test("should take work of others, then only that of its callers, then none while it stops", (t) => {
  const phaseAfter = (stoppingForMs: number) =>
    decideStopPhase({ stoppingForMs, drainTimeoutMs: 6_000 });
  t.same(phaseAfter(0), { takesForwarded: true, takesNew: true });
  t.same(phaseAfter(1_600), { takesForwarded: true, takesNew: true });
  t.same(phaseAfter(1_800), { takesForwarded: false, takesNew: true });
  t.same(phaseAfter(2_600), { takesForwarded: false, takesNew: true });
  t.same(phaseAfter(2_800), { takesForwarded: false, takesNew: false });
  t.end();
});
