import { createServer } from "node:net";
import t, { type Test } from "tap";
import { ConnectionAgents } from "./connection_agent.ts";
import { startExchange } from "./exchange.ts";
import { NAMES } from "./peer_server_fixture.ts";
import {
  evidenceFields,
  evidenceOfExchange,
  evidenceOfLostVerdict,
} from "./verdict_evidence.ts";

const REFUSAL =
  `HTTP/1.1 503 Busy\r\n${NAMES.notRun}: 1\r\nContent-Length: 0\r\n\r\n`;

/** Sends requests to an upstream that answers each with the next text and closes the connection after the last one. */
async function setUp(t: Test, answers: readonly string[]) {
  const ports: (number | undefined)[] = [];
  let next = 0;
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.on("data", () => {
      ports.push(socket.remotePort);
      const answer = answers[next++];
      if (answer === undefined) socket.destroy();
      else socket.write(answer);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const agents = new ConnectionAgents({ maxIdleMs: 1_000 });
  t.teardown(() => agents.close());
  t.teardown(() => server.close());
  const { port } = server.address() as { port: number };
  const exchange = async () => {
    const end = await startExchange({
      agent: agents.forClass("idempotent"),
      destination: { address: "127.0.0.1", port },
      localAddress: "127.0.0.1",
      method: "GET",
      path: "/",
      headers: [],
      body: undefined,
      timeoutMs: 1_000,
      connectTimeoutMs: 500,
      maxAnswerBytes: 1_000,
    }).ended;
    return evidenceFields(evidenceOfExchange(end, NAMES));
  };
  return { exchange, ports, server };
}

// Guards against a log that cannot tell on which connection a refusal was read, and whether anything was sent.
t.test("should tell what a verdict rests on, and on which connection it was read", async (t) => {
  const ok = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  const { exchange, ports, server } = await setUp(t, [ok, REFUSAL]);
  const first = await exchange();
  const second = await exchange();
  const third = await exchange();
  const connection_port = ports[0];
  const at = (exchange_on_connection: number) => ({
    connection_port,
    exchange_on_connection,
  });
  t.same(first, { evidence: "answer", answer_status: 200, ...at(1) });
  t.same(second, {
    evidence: "answer_says_not_run",
    answer_status: 503,
    ...at(2),
  });
  t.same(third, { evidence: "no_answer", ...at(3) });
  await new Promise((resolve) => server.close(resolve));
  t.same(await exchange(), { evidence: "not_sent" });
});

t.test("should tell whether a request was sent to a daemon from which no verdict arrived", (t) => {
  const fieldsOf = (mayHaveBeenSent: boolean) =>
    evidenceFields(evidenceOfLostVerdict({ mayHaveBeenSent }));
  t.same(fieldsOf(true), { evidence: "no_answer" });
  t.same(fieldsOf(false), { evidence: "not_sent" });
  t.same(evidenceFields({ kind: "owner_daemon" }), {
    evidence: "owner_daemon",
  });
  t.end();
});
