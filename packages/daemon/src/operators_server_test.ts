import { connect } from "node:net";
import { text } from "node:stream/consumers";
import t from "tap";
import { request } from "undici";
import { Metrics } from "@tanagercove/metrics";
import type { DaemonState, DaemonSummary } from "./daemon_summary.ts";
import { startOperatorsServer } from "./operators_server.ts";

const ADDRESS = "127.24.1.1";

function summary(state: DaemonState): DaemonSummary {
  return {
    vm_id: "a-1",
    zone: "zone-a",
    region: "r",
    service: "s",
    state,
    program_version: "test",
    uptime_ms: 1,
    floor_unconfirmed: false,
    refused: [],
  };
}

async function start(state: { now: DaemonState } = { now: "serving" }) {
  const metrics = new Metrics();
  metrics.counter("requests").add(3);
  const opened = await startOperatorsServer({
    address: ADDRESS,
    port: 0,
    state: {
      summary: () => summary(state.now),
      fleetStatus: () =>
        Promise.resolve({ asked_by: "a-1", daemons: [], missing: [] }),
      dump: () => ({ held: 1 }),
      metrics: () => metrics.read(),
    },
  });
  const server = opened.unwrapOrElse((error) => {
    throw new Error(error.message);
  });
  const url = `http://${ADDRESS}:${server.port}`;
  return { server, url };
}

/** Sends raw bytes and returns everything received until the connection ends. */
async function sendRaw(port: number, bytes: string): Promise<string> {
  const socket = connect(port, ADDRESS);
  socket.on("error", () => {});
  socket.write(bytes);
  return await text(socket);
}

t.test("should answer status, dump and metrics from the state functions", async (t) => {
  const { server, url } = await start();
  const fetchText = async (path: string) =>
    await (await request(url + path)).body.text();
  t.match(JSON.parse(await fetchText("/status")), { vm_id: "a-1" });
  t.match(JSON.parse(await fetchText("/status?scope=fleet")), {
    asked_by: "a-1",
  });
  t.match(JSON.parse(await fetchText("/dump")), { held: 1 });
  t.match(await fetchText("/metrics"), "tanagercove_requests_total 3\n");
  t.match(JSON.parse(await fetchText("/metrics?format=json")), {
    counters: [{ name: "requests", value: 3 }],
  });
  await server.close();
});

t.test("should answer 503 on healthz unless serving, so that load balancers choose other daemons", async (t) => {
  const state: { now: DaemonState } = { now: "starting" };
  const { server, url } = await start(state);
  const health = async () => (await request(`${url}/healthz`)).statusCode;
  t.equal(await health(), 503);
  state.now = "serving";
  t.equal(await health(), 200);
  state.now = "draining";
  t.equal(await health(), 503);
  await server.close();
});

t.test("should refuse everything but a plain GET of a known path", async (t) => {
  const { server, url } = await start();
  const status = async (path: string, method: "GET" | "POST" = "GET") =>
    (await request(url + path, { method })).statusCode;
  t.equal(await status("/status", "POST"), 405);
  t.equal(await status("/constructor"), 404);
  t.equal(await status("/status?scope=all"), 400);
  t.match(
    await sendRaw(
      server.port,
      "GET /status HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nGET /dump",
    ),
    /^HTTP\/1.1 400 [^]*Expected a request without body/,
  );
  t.match(
    await sendRaw(
      server.port,
      `GET / HTTP/1.1\r\nhost: a\r\nx: ${"x".repeat(9_000)}\r\n\r\n`,
    ),
    /^HTTP\/1.1 431 /,
  );
  await server.close();
});

t.test("should answer an incomplete request with 408 and close its connection, so that idle clients cannot hold all connections", async (t) => {
  const { server } = await start();
  t.match(await sendRaw(server.port, "GET /sta"), /^HTTP\/1.1 408 /);
  await server.close();
});

t.test("should name the port that is in use", async (t) => {
  const { server } = await start();
  const second = await startOperatorsServer({
    address: ADDRESS,
    port: server.port,
    state: undefined as never,
  });
  t.ok(second.isErr);
  if (second.isErr) {
    t.match(second.error, { kind: "address_in_use", port: server.port });
  }
  await server.close();
});
