import { request } from "undici";
import t from "tap";
import { waitFor } from "@tanagercove/test_helpers";
import { HEADERS } from "@tanagercove/types";
import { claimAddressBlock } from "./address_block.ts";
import type { ExchangeStep } from "./upstream_control.ts";
import { startMesh } from "./mesh.ts";
import { startUpstreamProcess, UpstreamProcess } from "./upstream_process.ts";
import {
  startUpstreamStandIn,
  type StartUpstreamStandInOptions,
} from "./upstream_stand_in.ts";

async function start(
  t: { teardown(close: () => Promise<void>): void },
  options: Partial<StartUpstreamStandInOptions> = {},
) {
  const upstream = await startUpstreamStandIn({ name: "swatches", ...options });
  t.teardown(() => upstream.close());
  return { upstream, url: `http://127.0.0.1:${upstream.port}` };
}

async function requestOutcome(url: string, id: string): Promise<string> {
  try {
    const response = await request(`${url}/x?id=${id}&answer_bytes=5000`, {
      headers: { [HEADERS.requestId]: `r-${id}` },
    });
    const text = await response.body.text();
    return `${response.statusCode} ${text.length}`;
  } catch {
    return "broken";
  }
}

const EXECUTIONS_BY_STEP: Readonly<Record<ExchangeStep, number>> = {
  accepted: 0,
  request_read: 0,
  answer_head: 1,
  answer_body: 1,
};

for (const step of Object.keys(EXECUTIONS_BY_STEP) as ExchangeStep[]) {
  t.test(`should break exactly one exchange at the step "${step}"`, async (t) => {
    const { upstream, url } = await start(t);
    upstream.control({ action: "fail_at", step });
    t.equal(await requestOutcome(url, "1"), "broken");
    t.equal(upstream.log.all.length, EXECUTIONS_BY_STEP[step]);
    t.equal(await requestOutcome(url, "2"), "200 5000");
  });
}

t.test("should shed requests beyond its slots and while starting, and mark them as not started", async (t) => {
  const { upstream, url } = await start(t, { slots: 1, serviceTimeMs: 100 });
  const first = requestOutcome(url, "1");
  await waitFor(() => upstream.running === 1);
  const response = await request(`${url}/x?id=2`);
  t.equal(response.headers[HEADERS.notStarted], "true");
  t.equal(await first, "200 5000");
  upstream.setState("starting");
  t.match(await requestOutcome(url, "3"), "503");
  t.same(upstream.log.all.map(({ id, end }) => [id, end]), [["1", "answered"]]);
  t.equal(upstream.log.shedCount, 2);
});

// The stand-in must not run more requests at once than it has slots. It must not run a request that it reported
// as not started.
t.test("should queue requests beyond its slots and start none whose caller disconnected or whose deadline passed", async (t) => {
  const { upstream, url } = await start(t, {
    slots: 1,
    serviceTimeMs: 200,
    overload: "wait",
  });
  const first = requestOutcome(url, "1");
  await waitFor(() => upstream.running === 1);
  const disconnect = new AbortController();
  const abandoned = request(`${url}/x?id=abandoned`, {
    signal: disconnect.signal,
  }).catch(() => "abandoned");
  const pastDeadline = request(`${url}/x?id=past-deadline`, {
    headers: { [HEADERS.deadlineMs]: "20" },
  });
  const second = requestOutcome(url, "2");
  setTimeout(() => disconnect.abort(), 50);
  t.same(await Promise.all([first, second]), ["200 5000", "200 5000"]);
  t.equal(await abandoned, "abandoned");
  t.equal((await pastDeadline).headers[HEADERS.notStarted], "true");
  t.same(upstream.log.all.map(({ id }) => id), ["1", "2"]);
  const [firstExecution, secondExecution] = upstream.log.all;
  t.ok(secondExecution!.startedAtMs >= firstExecution!.endedAtMs!);
});

t.test("should record a cancelled request as cancelled and free its slot", async (t) => {
  const { upstream, url } = await start(t, { serviceTimeMs: 5_000 });
  const abort = new AbortController();
  const call = request(`${url}/x?id=1`, { signal: abort.signal });
  await waitFor(() => upstream.running === 1);
  abort.abort();
  await t.rejects(call);
  await waitFor(() => upstream.running === 0);
  t.equal(upstream.log.all[0]?.end, "cancelled");
});

t.test("should count connections beyond the limit and record how long it has been draining when a request starts", async (t) => {
  const { upstream, url } = await start(t, {
    connectionLimit: 1,
    serviceTimeMs: 200,
  });
  upstream.setState("draining");
  const first = requestOutcome(url, "1");
  await waitFor(() => upstream.running === 1);
  t.equal(await requestOutcome(url, "2"), "broken");
  t.equal(await first, "200 5000");
  t.equal(upstream.log.connectionLimitViolations, 1);
  t.type(upstream.log.all[0]?.drainingForMs, "number");
});

t.test("should report a false state and load, hold all requests while frozen and answer them after the thaw", async (t) => {
  const { upstream, url } = await start(t);
  upstream.control({ action: "lie", state: "draining", load: 0.9 });
  const health = await request(`${url}/health`);
  t.same(await health.body.json(), { state: "draining", load: 0.9 });
  upstream.control({ action: "freeze" });
  const held = requestOutcome(url, "1");
  const heldHealth = request(`${url}/health`);
  const firstSettled = await Promise.race([
    held,
    heldHealth,
    new Promise((resolve) => setTimeout(() => resolve("held"), 100)),
  ]);
  t.equal(firstSettled, "held");
  upstream.control({ action: "thaw" });
  t.equal(await held, "200 5000");
  t.equal((await heldHealth).statusCode, 200);
});

t.test("should keep the execution log of a process that is killed in the middle of an answer", async (t) => {
  const block = await claimAddressBlock();
  t.teardown(() => block.close());
  const host = block.listenAddress({ zone: 0, vm: 1 });
  const upstream = await startUpstreamProcess({
    name: "deposits",
    host,
    port: 8_082,
  });
  t.teardown(() => upstream.close());
  const url = `http://${host}:${upstream.port}`;
  await upstream.control({
    action: "fail_at",
    step: "answer_body",
    scope: "process",
  });
  t.equal(await requestOutcome(url, "1"), "broken");
  await waitFor(() => !upstream.isRunning);
  t.match(upstream.logs[0]?.all, [{ id: "1", requestId: "r-1" }]);
  await upstream.start();
  t.equal(await requestOutcome(url, "2"), "200 5000");
  t.equal(upstream.logs[1]?.all.length, 1);
});

// Guards against a process that starts late and keeps the address of an upstream that was given up.
t.test("should end the process of an upstream that is not ready in time", async (t) => {
  const upstream = new UpstreamProcess({
    name: "swatches-1-1",
    host: "127.0.0.1",
    port: 0,
  });
  const started = upstream.start();
  upstream.pause();
  t.teardown(() => upstream.kill());
  await t.rejects(started, { message: /is not ready/ });
  t.notOk(upstream.isRunning);
});

// Guards against upstreams that keep their addresses after a mesh has failed to start.
t.test("should close all upstreams of a mesh if one of them fails to start", async (t) => {
  const options = {
    zones: ["zone-a"],
    services: ["swatches", "reservations"],
    relay: false,
    plans: "",
    allowances: "",
  };
  const failed = startMesh({
    ...options,
    upstreamOptions: ({ service }) => {
      if (service === "reservations") throw new Error("no such service");
      return {};
    },
  });
  await t.rejects(failed, { message: "no such service" });
  const mesh = await startMesh(options);
  t.equal(mesh.upstreams.size, 2);
  await mesh.close();
});
