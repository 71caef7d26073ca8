import { type CallRecord, startUpstreamStandIn } from "@tanagercove/emulator";
import t from "tap";
import { HEADERS } from "@tanagercove/types";
import { request } from "undici";
import { startBaselineProxy } from "./baseline_proxy.ts";
import {
  type GoodputPoint,
  judgeGoodput,
  summarizeGoodput,
} from "./measure_goodput.ts";
import { divideTime, overheadMs, parseTiming } from "./call_timing.ts";
import { measurementLimits } from "./machine_load.ts";
import { planBench } from "./plan.ts";
import type { PairResult } from "./probe_pairs.ts";
import { summarizePairs } from "./summarize_pairs.ts";

function call(fields: Partial<CallRecord>): CallRecord {
  return {
    id: "1",
    customer: "isla",
    service: "deposits",
    idempotent: false,
    outcome: "answered",
    reason: undefined,
    status: 200,
    dueAfterMs: 2_000,
    sentLateMs: 0,
    latencyMs: 100,
    ...fields,
  };
}

// Guards against a goodput that counts late answers, refusals, or queued requests that are answered after
// the load ended.
t.test("should count as goodput only answers within deadline and measured time", (t) => {
  const plan = planBench("thistledown", { seed: 1, seconds: 2 });
  const summary = summarizeGoodput([
    call({}),
    call({ dueAfterMs: 3_450 }),
    call({ dueAfterMs: 0 }),
    call({ latencyMs: plan.goodput.deadlineMs + 1 }),
    call({ outcome: "not_run", status: 503 }),
    call({ outcome: "unknown", status: 504 }),
  ], { ...plan.goodput, warmUpMs: 1_500, measuredMs: 2_000 });
  t.equal(summary.goodputPerSecond, 0.5);
  t.equal(summary.refusedShare, 0.2);
  t.equal(summary.unknownShare, 0.2);
  t.equal(summary.answeredLateShare, 0.2);
  t.end();
});

// Guards against a bar that is printed as met whatever was measured.
t.test("should miss the bar for goodput below 90 % of that at capacity", (t) => {
  const points = (goodputAtFour: number, limits: string[] = []) =>
    [
      { factor: 1, goodputPerSecond: 1_000, limits: [] },
      { factor: 4, goodputPerSecond: goodputAtFour, limits },
    ] as unknown as GoodputPoint[];
  t.equal(judgeGoodput(points(899)).result, "missed");
  t.equal(judgeGoodput(points(900)).result, "met");
  t.equal(judgeGoodput(points(900, ["late"])).result, "not_shown");
  t.end();
});

// Guards against reporting figures of an overloaded machine as figures of the system.
t.test("should name a busy machine and late generators as limits of a result", (t) => {
  const idle = { machineBusyShare: 0.5, sentLateP99Ms: 5 };
  t.same(measurementLimits(idle), []);
  t.equal(measurementLimits({ ...idle, machineBusyShare: 0.9 }).length, 1);
  t.equal(measurementLimits({ ...idle, sentLateP99Ms: 21 }).length, 1);
  t.end();
});

// Guards against a baseline proxy that does not behave as described, which would distort the comparison.
t.test("should retry every failure and count the attempts in the baseline proxy", async (t) => {
  const upstream = await startUpstreamStandIn({ name: "deposits-1", slots: 0 });
  t.teardown(() => upstream.close());
  const proxy = await startBaselineProxy({
    address: "127.44.7.1",
    port: 8_070,
    upstreams: [
      { service: "deposits", address: "127.0.0.1", port: upstream.port },
    ],
  });
  t.teardown(() => proxy.close());
  const answer = await request("http://127.44.7.1:8070/x?id=1", {
    method: "POST",
    headers: { [HEADERS.service]: "deposits" },
  });
  await answer.body.dump();
  t.equal(answer.headers[HEADERS.outcome], "unknown");
  const counts = await request("http://127.44.7.1:8070/baseline/counts");
  t.same(await counts.body.json(), { requests: 1, attempts: 3 });
});

// Guards against time that no share accounts for, and against counting a wait for a slot as added time.
t.test("should divide the whole time of a call among its shares", (t) => {
  const parts = parseTiming([
    "upstream_wait;dur=2, upstream_service;dur=50",
    "owner_total;dur=61, owner_queue;dur=5, owner_connect;dur=1, owner_head;dur=53, owner_body;dur=1",
    "caller_total;dur=70, caller_connect;dur=2, caller_head;dur=64, caller_body;dur=1",
  ]);
  const call = { latencyMs: 75, parts };
  t.same(divideTime(call), {
    callerHop: 5,
    callerDaemon: 3,
    ownerConnect: 2,
    ownerHop: 4,
    ownerQueue: 5,
    ownerDaemon: 1,
    upstreamConnect: 1,
    upstreamHop: 2,
    upstreamWait: 2,
    upstreamService: 50,
  });
  t.equal(overheadMs(call), 18);
  t.end();
});

// Guards against a verdict based on noise: the difference between the percentiles of two series of calls
// is not the time added to one call.
t.test("should judge the added time by pairs, and only if the control calls differ little", (t) => {
  const pairsOf = (addedMs: number, controlMs: number): PairResult[] =>
    Array.from({ length: 500 }, () => ({
      calls: {
        direct: { latencyMs: 50, parts: {} },
        daemon: { latencyMs: 50 + addedMs, parts: {} },
        control: { latencyMs: 50 + controlMs, parts: {} },
      },
      sentLateMs: 0,
      loopMs: 0,
    }));
  const verdict = (pairs: PairResult[], limits: string[] = []) =>
    summarizePairs(pairs, limits).bars[0]?.result;
  t.equal(verdict(pairsOf(1.7, 0)), "met");
  t.equal(verdict(pairsOf(1.8, 0)), "missed");
  t.equal(verdict(pairsOf(1.8, 1.8)), "not_shown");
  t.equal(verdict(pairsOf(1.6, 0), ["late"]), "not_shown");
  t.equal(verdict(pairsOf(1.6, 0).slice(1)), "not_shown");
  t.end();
});
