import { createServer, Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import t from "tap";
import type { RequestClass } from "@tanagercove/types";
import { ConnectionAgents } from "./connection_agent.ts";
import { startExchange } from "./exchange.ts";

const ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/** Idle time after which the upstream of these tests resets a connection when it is used. */
const RESETS_AFTER_MS = 500;

// Guards against a non-idempotent request whose result is unknown because it was sent on an idle
// connection that the upstream had dropped. Idempotent requests can be retried.
t.test("should not send a non-idempotent request on a connection that was idle for long", async (t) => {
  const server = createServer((socket: Socket) => {
    let usedAtMs = performance.now();
    socket.on("error", () => {});
    socket.on("data", () => {
      const idleMs = performance.now() - usedAtMs;
      usedAtMs = performance.now();
      if (idleMs > RESETS_AFTER_MS) socket.resetAndDestroy();
      else socket.write(ANSWER);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as { port: number };
  const agents = new ConnectionAgents({ maxIdleMs: 4_000 });
  t.teardown(() => {
    agents.close();
    server.close();
  });
  const send = async (requestClass: RequestClass) => {
    const end = await startExchange({
      agent: agents.forClass(requestClass),
      destination: { address: "127.0.0.1", port },
      localAddress: "127.0.0.1",
      method: "POST",
      path: "/",
      headers: ["host", "x"],
      body: undefined,
      timeoutMs: 1_000,
      connectTimeoutMs: 500,
      maxAnswerBytes: 1_000,
    }).ended;
    return end.kind;
  };
  t.equal(await send("non_idempotent"), "answered");
  t.equal(await send("non_idempotent"), "answered");
  t.equal(agents.opened, 1, "a connection in steady use is reused");
  await sleep(RESETS_AFTER_MS + 100);
  t.equal(await send("non_idempotent"), "answered");
  t.equal(agents.opened, 2);
});

// Guards against a new connection for each refusal of an upstream that is full, and against a memory of ids that grows
// as long as a connection lives.
t.test("should avoid a connection only for the requests that were refused on it", (t) => {
  const agents = new ConnectionAgents({ maxIdleMs: 1_000 });
  const socket = new Socket();
  const shared = agents.forClass("non_idempotent");
  const agentFor = (requestId: string) =>
    agents.forRequest({ requestClass: "non_idempotent", requestId });
  let kept = 0;
  while (agents.recordRefusal(socket, `r${kept}`)) kept += 1;
  t.equal(kept, 63);
  t.not(agentFor("r0"), shared);
  t.not(
    agents.forRequest({ requestClass: "idempotent", requestId: "r0" }),
    agents.forClass("idempotent"),
    "whatever its class is now",
  );
  t.equal(agentFor("other"), shared);
  socket.emit("close");
  t.equal(agentFor("r0"), shared, "the connection is gone");
  agents.close();
  t.end();
});
