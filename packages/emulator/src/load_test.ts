import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import t from "tap";
import { HEADERS } from "@tanagercove/types";
import type { Execution } from "./execution_log.ts";
import { runLoad } from "./load.ts";
import { runLoadProcesses } from "./load_process.ts";
import { type CallRecord, compareExecutions } from "./load_report.ts";

const SEED = 11;

function call(id: string, fields: Partial<CallRecord>): CallRecord {
  return {
    id,
    customer: "isla",
    service: "deposits",
    idempotent: false,
    outcome: "answered",
    reason: undefined,
    status: 200,
    dueAfterMs: 0,
    sentLateMs: 0,
    latencyMs: 1,
    ...fields,
  };
}

function execution(id: string): Execution {
  return {
    id,
    requestId: id,
    method: "POST",
    startedAtMs: 0,
    drainingForMs: undefined,
    endedAtMs: 1,
    end: "answered",
  };
}

t.test("should find requests that ran twice, were lost or ran although reported as not run", (t) => {
  const calls = [
    call("good", {}),
    call("twice", {}),
    call("lost", {}),
    call("refused-and-ran", { outcome: "not_run" }),
    call("read-twice", { idempotent: true }),
    call("unknown", { outcome: "unknown" }),
    call("silent", { outcome: "none" }),
  ];
  const executedIds = [
    "good",
    "twice",
    "twice",
    "refused-and-ran",
    "read-twice",
    "read-twice",
    "silent",
  ];
  t.same(compareExecutions(calls, executedIds.map(execution)), {
    runTwice: ["twice"],
    lost: ["lost"],
    notRunThatRan: ["refused-and-ran"],
    repeatedIdempotent: 1,
    unknownThatRan: 1,
    unknownThatDidNotRun: 1,
    executions: 7,
  });
  t.end();
});

t.test("should end at the signal without sending the request that is not yet due", async (t) => {
  const stop = new AbortController();
  setTimeout(() => stop.abort(), 50);
  const report = await runLoad({
    targets: ["http://127.0.0.1:1"],
    customers: ["isla"],
    services: ["deposits"],
    ratePerSecond: 0.001,
    durationMs: Infinity,
    seed: SEED,
    signal: stop.signal,
  });
  t.equal(report.requests, 0);
});

t.test("should keep its rate while answers are slow, and detect an answer to another request", async (t) => {
  t.comment(`seed ${SEED}`);
  const methods: Record<string, number> = {};
  const server = createServer((request, response) => {
    methods[request.method!] = (methods[request.method!] ?? 0) + 1;
    request.resume();
    setTimeout(() => {
      response.writeHead(200, { [HEADERS.outcome]: "answered" });
      response.end(JSON.stringify({ id: "other" }));
    }, 300);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => server.close());
  const report = await runLoad({
    targets: [`http://127.0.0.1:${(server.address() as AddressInfo).port}`],
    customers: ["isla"],
    services: ["deposits"],
    ratePerSecond: 200,
    durationMs: 1_000,
    seed: SEED,
    idempotentShare: 0.5,
  });
  // A closed loop would send no more than a few requests per 300 ms.
  t.ok(report.requests > 140 && report.requests < 260, `${report.requests}`);
  t.equal(report.byOutcome.answered, report.requests);
  t.equal(report.wrongAnswers.length, report.requests);
  t.ok(report.latency.idempotent.p50Ms >= 295);
  t.ok(methods.GET! > 50 && methods.POST! > 50);
});

// With request ids shared by processes, the comparison with the executions would add up the runs of two
// requests: it would miss a lost request, and report two POST requests that ran once each as run twice.
t.test("should split a load among processes that use different request ids", async (t) => {
  const server = createServer((request, response) => {
    const id = new URL(request.url!, "http://server").searchParams.get("id");
    response.writeHead(200, { [HEADERS.outcome]: "answered" });
    response.end(JSON.stringify({ id }));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => server.close());
  const { calls, notSent } = await runLoadProcesses({
    targets: [`http://127.0.0.1:${(server.address() as AddressInfo).port}`],
    customers: ["isla"],
    services: ["swatches", "deposits"],
    ratePerSecond: 400,
    durationMs: 1_000,
    seed: SEED,
    idempotentShareByService: { swatches: 1, deposits: 0 },
  }, 2);
  t.ok(calls.length > 320 && calls.length < 480, `${calls.length}`);
  t.equal(notSent, 0);
  t.equal(new Set(calls.map(({ id }) => id)).size, calls.length);
  // The seed must differ: the start time in the ids may differ too, but only by chance.
  const seeds = calls.map(({ id }) => id.split("-")[0]);
  t.equal(new Set(seeds).size, 2);
  t.ok(calls.every(({ wrongAnswer }) => wrongAnswer === undefined));
  t.ok(
    calls.every((call) => call.idempotent === (call.service === "swatches")),
  );
});
