import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { writeFileSync } from "node:fs";
import { createServer, type RequestListener } from "node:http";
import type { AddressInfo } from "node:net";
import { join } from "node:path";
import t, { type Test } from "tap";
import { request } from "undici";
import { claimAddressBlock } from "@tanagercove/emulator";
import { formatVms } from "@tanagercove/lists";
import { waitFor } from "@tanagercove/test_helpers";
import { HEADERS } from "@tanagercove/types";
import type { DaemonSummary } from "./daemon_summary.ts";

const PROGRAM = "dist/tanagercove.cjs";
const CALLER_PORT = 8080;
/**
 * Delay of each answer of the platform's stand-in. Long polls are answered after this delay too, so the daemon
 * repeats them at its minimum interval, which is longer.
 */
const PLATFORM_DELAY_MS = 20;
let lastVm = 0;
const block = await claimAddressBlock();
t.teardown(() => block.close());

/** Runs the built program with its own stand-ins for platform and upstream. */
async function startProgram(t: Test, options: {
  readonly drainTimeoutMs?: number;
  readonly upstream?: RequestListener;
  readonly nodeArgs?: readonly string[];
  readonly address?: string;
} = {}) {
  const address = options.address ??
    block.listenAddress({ zone: 0, vm: ++lastVm });
  const upstream = await listen(t, {
    address,
    handler: options.upstream ?? ((_, response) => response.end()),
  });
  const values = {
    plans: "perth = basic\n",
    allowances: "basic = swatches\n",
    vms: formatVms([{
      id: "swatches-1",
      service: "swatches",
      zone: "zone-a",
      region: "region-1",
      address,
      callerPort: CALLER_PORT,
      peerPort: 8081,
      upstreamPort: upstream,
      state: "live",
    }]),
  };
  const platform = await listen(t, {
    address,
    handler: (request, response) => {
      const key = /^\/v1\/values\/(\w+)/.exec(request.url ?? "")?.[1];
      const value = values[key as keyof typeof values];
      const keys = { plans: 1, allowances: 1, vms: 1 };
      const body = key === undefined
        ? { revision: 1, keys }
        : { key, revision: 1, value };
      setTimeout(() => response.end(JSON.stringify(body)), PLATFORM_DELAY_MS);
    },
  });
  const file = join(t.testdir({}), "daemon.ini");
  writeFileSync(
    file,
    `[daemon]\nvm_id = swatches-1\nzone = zone-a\nregion = region-1\n` +
      `service = swatches\naddress = ${address}\ncaller_port = ${CALLER_PORT}\n` +
      `peer_port = 8081\ndrain_timeout_ms = ${
        options.drainTimeoutMs ?? 10_000
      }\n` +
      `[platform]\nurl = http://${address}:${platform}\n` +
      `[upstream]\naddress = ${address}\nport = ${upstream}\n` +
      `[operators]\naddress = ${address}\n` +
      // Short, since there is no other daemon that could answer while this one joins.
      `[peers]\njoin_timeout_ms = 200\n`,
  );
  const child = spawn(
    process.execPath,
    [...options.nodeArgs ?? [], PROGRAM, "run", "--settings", file],
    { stdio: ["ignore", "pipe", "pipe"] },
  );
  t.teardown(() => child.kill("SIGKILL"));
  return { address, ...observe(child) };
}

function observe(child: ChildProcess) {
  const text = { out: "", err: "" };
  child.stdout!.on("data", (data) => text.out += data);
  child.stderr!.on("data", (data) => text.err += data);
  const exitCode = once(child, "close").then(([code]) => code as number);
  const events = () =>
    text.out.split("\n").filter(Boolean).map((line) => JSON.parse(line));
  const waitForEvent = (event: string) =>
    waitFor(() => events().some((line) => line.event === event), {
      what: event,
    });
  return { child, text, exitCode, events, waitForEvent };
}

async function listen(
  t: Test,
  options: { readonly address: string; readonly handler: RequestListener },
): Promise<number> {
  const server = createServer(options.handler).listen(0, options.address);
  await once(server, "listening");
  t.teardown(() => {
    server.close();
    server.closeAllConnections();
  });
  return (server.address() as AddressInfo).port;
}

async function sendRequest(address: string) {
  return await request(`http://${address}:${CALLER_PORT}/`, {
    headers: { [HEADERS.customer]: "perth", [HEADERS.service]: "swatches" },
  });
}

/** The lists can be in force before the VM list; until both are, requests are refused. */
async function waitUntilServing(address: string): Promise<void> {
  await waitFor(async () => {
    const answer = await request(`http://${address}:8082/status`)
      .catch(() => undefined);
    const status = await answer?.body.json() as Partial<DaemonSummary>;
    return status?.state === "serving" && status.vms_revision === 1;
  }, { what: "daemon with both lists and the VM list" });
}

/** An upstream that answers health checks at once, but other requests only when `finish` is called. */
function slowUpstream() {
  const state = { started: false, finish: () => {} };
  const handler: RequestListener = (request, response) => {
    if (request.url === "/health") {
      response.end(JSON.stringify({ state: "ready", load: 0 }));
      return;
    }
    state.started = true;
    state.finish = () => response.end("whole answer");
  };
  return { state, handler };
}

t.test("should let a request in flight finish after SIGTERM", async (t) => {
  const { state, handler } = slowUpstream();
  const { address, child, exitCode, events, waitForEvent } = await startProgram(
    t,
    {
      upstream: handler,
    },
  );
  await waitUntilServing(address);
  const answer = sendRequest(address);
  await waitFor(() => state.started, { what: "request at the upstream" });
  child.kill("SIGTERM");
  await waitForEvent("drain_started");
  state.finish();
  t.equal(await (await answer).body.text(), "whole answer");
  t.equal(await exitCode, 0);
  t.match(events().at(-1), { event: "daemon_stopped", outcome: "stopped" });
});

t.test("should exit with 1 when a request outlasts the drain timeout", async (t) => {
  const { state, handler } = slowUpstream();
  const { address, child, exitCode, events } = await startProgram(t, {
    drainTimeoutMs: 100,
    upstream: handler,
  });
  await waitUntilServing(address);
  sendRequest(address).catch(() => {});
  await waitFor(() => state.started, { what: "request at the upstream" });
  child.kill("SIGTERM");
  t.equal(await exitCode, 1);
  t.match(events().at(-2), { event: "drain_timed_out" });
});

t.test("should end at once on a second signal, whatever is in flight", async (t) => {
  const { state, handler } = slowUpstream();
  const { address, child, exitCode, events, waitForEvent } = await startProgram(
    t,
    {
      drainTimeoutMs: 600_000,
      upstream: handler,
    },
  );
  await waitUntilServing(address);
  sendRequest(address).catch(() => {});
  await waitFor(() => state.started, { what: "request at the upstream" });
  child.kill("SIGTERM");
  await waitForEvent("drain_started");
  child.kill("SIGINT");
  t.equal(await exitCode, 1);
  t.match(events().at(-1), { outcome: "interrupted" });
});

t.test("should exit with 2 and name the port when it is in use", async (t) => {
  const first = await startProgram(t);
  await waitUntilServing(first.address);
  const second = await startProgram(t, { address: first.address });
  t.equal(await second.exitCode, 2);
  t.equal(
    second.text.err,
    `Cannot listen on ${first.address} port 8082: another process uses this port\n`,
  );
  t.match(second.events().at(-1), { event: "daemon_start_failed" });
});

t.test("should log an uncaught error as a broken invariant and exit with 70, since the state may be wrong", async (t) => {
  const script = "process.on('SIGUSR2', () => { throw new Error('broken') })";
  const { child, exitCode, events, waitForEvent } = await startProgram(t, {
    nodeArgs: ["--import", `data:text/javascript,${script}`],
  });
  await waitForEvent("daemon_started");
  child.kill("SIGUSR2");
  t.equal(await exitCode, 70);
  t.match(events().at(-1), { event: "invariant_broken", message: "broken" });
});
