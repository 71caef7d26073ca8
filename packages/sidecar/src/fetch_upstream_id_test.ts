import t from "tap";
import { startEndlessServer, waitFor } from "@tanagercove/test_helpers";
import { ConnectionAgent } from "./connection_agent.ts";
import { fetchUpstreamId } from "./fetch_upstream_id.ts";

const STATUS_LINE = "HTTP/1.1 200 OK\r\nInstance: i-1\r\n";

const ANSWERS = {
  "interim answers": {
    start: "",
    filler: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n",
  },
  "blank lines": { start: "", filler: "\r\n" },
  "header lines": { start: STATUS_LINE, filler: "Filler: xxxxxxxx\r\n" },
  "spaces in a header": { start: `${STATUS_LINE}Filler:`, filler: " " },
  "a body": { start: `${STATUS_LINE}\r\n`, filler: "x" },
} as const;

/** The check's timeout is 500 ms; one that ends later than this has waited for it. */
const SOON_MS = 300;

/** Bytes that the connection may carry until its close arrives. */
const IN_FLIGHT_BYTES = 1024 * 1024;

for (const [name, answer] of Object.entries(ANSWERS)) {
  // Guards against an upstream that keeps its daemon busy with the answer to a health check.
  t.test(`should return no id if the health check gets ${name} without end`, async (t) => {
    const agent = new ConnectionAgent({ maxIdleMs: 1_000 });
    const server = await startEndlessServer({
      address: "127.0.0.1",
      answer: () => answer,
    });
    t.teardown(() => {
      server.close();
      agent.destroy();
    });
    const id = await fetchUpstreamId({
      agent,
      upstream: { address: "127.0.0.1", port: server.port },
      localAddress: "127.0.0.1",
      healthPath: "/health",
      idHeader: "instance",
    });
    t.equal(id, undefined);
    const [connection] = server.connections;
    await waitFor(() => connection!.durationMs !== undefined);
    t.ok(connection!.durationMs! < SOON_MS);
    t.ok(connection!.sentBytes < IN_FLIGHT_BYTES);
  });
}
