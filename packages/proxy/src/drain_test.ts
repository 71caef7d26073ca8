import { connect } from "node:net";
import t from "tap";
import { waitFor } from "@tanagercove/test_helpers";
import {
  ANSWER,
  CALL,
  send,
  sendRaw,
  startMesh,
  startScriptedServer,
} from "./mesh_fixture.ts";

const GET = `GET / HTTP/1.1\r\n${CALL}\r\n`;

// A shutdown must neither cut requests in flight nor wait for idle connections.
t.test("should close unused connections before the requests in flight end, and let those end", async (t) => {
  let answer = () => {};
  const upstream = await startScriptedServer("127.22.4.1", (socket, head) => {
    if (!head.startsWith("GET /health ")) answer = () => socket.write(ANSWER);
  });
  const mesh = await startMesh({ net: "22.4", upstreamPorts: [upstream.port] });
  const unused = connect(mesh.port, mesh.host);
  const inFlight = sendRaw(mesh, GET);
  await waitFor(() => upstream.requestIds.length === 1);
  const unusedClosed = new Promise((resolve) => unused.once("close", resolve));
  let closed = false;
  const closing = Promise.all([
    mesh.caller.close({ drainTimeoutMs: 10_000 }),
    mesh.owners[0]!.close({ drainTimeoutMs: 10_000 }),
  ]).then(() => closed = true);
  await unusedClosed;
  t.equal(closed, false);
  answer();
  const { status, text, body } = await inFlight;
  t.equal(status, 200);
  t.equal(body, "ok");
  t.match(text, /connection: close/i);
  await closing;
  await upstream.close();
  await mesh.close();
});

// A stop must not close the listener at once: that resets the connections in its backlog, whose requests
// have arrived but are not read yet.
t.test("should answer or refuse requests that wait in the listener's backlog when the stop begins", async (t) => {
  const upstream = await startScriptedServer("127.22.4.1", (socket) => {
    socket.write(ANSWER);
  });
  const mesh = await startMesh({ net: "22.4", upstreamPorts: [upstream.port] });
  const requests = Array.from({ length: 30 }, () => sendRaw(mesh, GET));
  // The kernel opens the connections while the loop below blocks this process.
  await new Promise((resolve) => process.nextTick(resolve));
  const closing = mesh.caller.close({ drainTimeoutMs: 5_000 });
  const busyUntilMs = performance.now() + 300;
  while (performance.now() < busyUntilMs);
  const answers = await Promise.all(requests);
  t.same(
    answers.filter(({ status }) => status !== 503 && status !== 200),
    [],
    "each request is answered or refused",
  );
  await closing;
  await mesh.close();
  await upstream.close();
});

t.test("should cut requests that are still in flight after the drain timeout", async (t) => {
  const upstream = await startScriptedServer("127.22.4.1", () => {});
  const mesh = await startMesh({ net: "22.4", upstreamPorts: [upstream.port] });
  const inFlight = sendRaw(mesh, GET);
  await waitFor(() => upstream.requestIds.length === 1);
  await mesh.caller.close({ drainTimeoutMs: 50 });
  t.equal((await inFlight).text, "");
  await mesh.close();
  await upstream.close();
});

// A connection that stays idle for longer than 1,000 ms may be dead, and an upstream accepts a limited
// number of connections.
t.test("should keep connections idle for 1,000 ms at most and open no more than allowed", async (t) => {
  const upstream = await startScriptedServer("127.22.4.1", (socket, head) => {
    if (head.startsWith("GET /health ")) return;
    setTimeout(() => socket.write(ANSWER), 20);
  });
  const mesh = await startMesh({
    net: "22.4",
    upstreamPorts: [upstream.port],
    proxy: { connections: 4, slots: 20 },
  });
  let mostSockets = 0;
  const watch = setInterval(
    () => mostSockets = Math.max(mostSockets, upstream.sockets.size),
    1,
  );
  const results = await Promise.all(
    Array.from({ length: 20 }, () => send(mesh)),
  );
  clearInterval(watch);
  t.ok(results.every(({ status }) => status === 200));
  t.ok(mostSockets <= 4, `${mostSockets} connections`);
  const endedAtMs = performance.now();
  for (const socket of upstream.sockets) {
    t.equal(socket.remoteAddress, mesh.vms[0]!.address);
  }
  await waitFor(() => upstream.sockets.size <= 1);
  t.ok(performance.now() - endedAtMs < 1_500);
  await mesh.close();
  await upstream.close();
});

// For a slow caller, the connection to the upstream is paused, so that memory does not grow with the size of
// the response. The pause must lose no data. A connection without keep-alive must not be paused: if it ends
// meanwhile, undici 7.30 fails an assertion, which ends the process.
t.test("should pass on a long response to a slow caller completely, with and without keep-alive", async (t) => {
  const size = 3 * 1024 * 1024;
  for (const connection of ["keep-alive", "close"]) {
    const upstream = await startScriptedServer("127.22.4.1", (socket, head) => {
      if (head.startsWith("GET /health ")) return;
      const fields = `connection: ${connection}\r\ncontent-length: ${size}`;
      socket.write(`HTTP/1.1 200 OK\r\n${fields}\r\n\r\n${"x".repeat(size)}`);
      if (connection === "close") socket.end();
    });
    const mesh = await startMesh({
      net: "22.4",
      upstreamPorts: [upstream.port],
    });
    const socket = connect(mesh.port, mesh.host);
    let received = 0;
    socket.on("data", (chunk) => {
      received += chunk.length;
      socket.pause();
      setTimeout(() => socket.resume(), 1);
    });
    socket.write(GET);
    await waitFor(() => received > size, { timeoutMs: 20_000 });
    socket.destroy();
    t.equal(mesh.caller.state().callers.brokenOff, 0);
    await mesh.close();
    await upstream.close();
  }
});
