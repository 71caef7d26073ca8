import t, { type Test } from "tap";
import { startEndlessServer, waitFor } from "@tanagercove/test_helpers";
import { AnswerMemory } from "./answer_memory.ts";
import { ConnectionAgents } from "./connection_agent.ts";
import { createPeerClient } from "./peer_client.ts";

/** A fetch of the catalog times out after 800 ms; one that ends later than this has waited for it. */
const SOON_MS = 400;

/** Bytes that the connection may carry until its close arrives. */
const IN_FLIGHT_BYTES = 1024 * 1024;

async function setUp(t: Test, head: string) {
  const agents = new ConnectionAgents({ maxIdleMs: 1_000 });
  const server = await startEndlessServer({
    address: "127.0.0.1",
    answer: () => ({ start: `${head}\r\n\r\n`, filler: "x" }),
  });
  t.teardown(() => {
    server.close();
    agents.close();
  });
  const peers = createPeerClient({
    agents,
    localAddress: "127.0.0.1",
    maxAnswerBytes: 1_000_000,
    answerMemory: new AnswerMemory({ maxBufferedBytes: 1_000_000 }),
  });
  return { server, peers };
}

// Guards against a daemon that fetches the catalog from an address at which something else now answers, and reads an
// answer without end until the timeout.
t.test("should not read the body of an answer that is not a daemon's catalog", async (t) => {
  const heads = [
    "HTTP/1.1 200 OK\r\nContent-Type: text/html",
    "HTTP/1.1 500 Broken\r\nContent-Type: application/json",
  ];
  for (const head of heads) {
    const { server, peers } = await setUp(t, head);
    const catalog = await peers.readCatalog(
      { address: "127.0.0.1", port: server.port },
      { version: 1, changeRevision: 1 },
    );
    t.equal(catalog, undefined);
    const [connection] = server.connections;
    await waitFor(() => connection!.durationMs !== undefined);
    t.ok(connection!.durationMs! < SOON_MS);
    t.ok(connection!.sentBytes < IN_FLIGHT_BYTES);
  }
});
