import { Agent, createServer, type RequestListener } from "node:http";
import type { AddressInfo } from "node:net";
import { gzipSync } from "node:zlib";
import t, { type Test } from "tap";
import { fetchBody, type FetchBodyOptions, type FetchStats } from "./index.ts";

/** Fetches from a server with the given listener; returns the result and the reported statistics. */
async function fetchFrom(
  t: Test,
  listener: RequestListener,
  options: Partial<FetchBodyOptions> = {},
) {
  const server = createServer(listener);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const agent = new Agent({ keepAlive: true });
  t.teardown(() => {
    agent.destroy();
    server.close();
    server.closeAllConnections();
  });
  const ends: FetchStats[] = [];
  const result = await fetchBody({
    agent,
    destination: {
      address: "127.0.0.1",
      port: (server.address() as AddressInfo).port,
    },
    localAddress: "127.0.0.1",
    path: "/",
    headTimeoutMs: 200,
    stallTimeoutMs: 200,
    maxBytes: 1_000,
    onEnd: (stats) => ends.push(stats),
    ...options,
  });
  return { result, ends };
}

t.test("should report how many bytes of a complete response arrived", async (t) => {
  const { result, ends } = await fetchFrom(t, (_request, response) => {
    response.end("x".repeat(500));
  });
  t.equal(result.isOk && result.value.body.length, 500);
  t.match(ends, [{ outcome: "complete", sizeBytes: 500 }]);
});

t.test("should tell a response that stops midway from none at all", async (t) => {
  const midway = await fetchFrom(t, (_request, response) => {
    response.writeHead(200, { "content-length": 500 });
    response.write("x".repeat(300));
  });
  t.equal(midway.result.isErr && midway.result.error.kind, "timeout");
  t.match(midway.ends, [{ outcome: "incomplete", sizeBytes: 300 }]);
  const none = await fetchFrom(t, () => {});
  t.match(none.ends, [{ outcome: "no_response", sizeBytes: 0 }]);
});

t.test("should wait for a response that keeps arriving, up to the limit on the whole", async (t) => {
  const drip: RequestListener = (_request, response) => {
    let pieces = 0;
    const timer = setInterval(() => {
      pieces += 1;
      response.write("x");
      if (pieces === 10) response.end();
    }, 50);
    response.on("close", () => clearInterval(timer));
  };
  const slow = await fetchFrom(t, drip);
  t.ok(slow.result.isOk);
  const tooSlow = await fetchFrom(t, drip, { timeoutMs: 300 });
  t.match(tooSlow.ends, [{ outcome: "incomplete" }]);
});

t.test("should close the connection of a response that is cut short or too large", async (t) => {
  const cut = await fetchFrom(t, (_request, response) => {
    response.writeHead(200, { "content-length": 500 });
    response.write("x", () => response.destroy());
  });
  t.equal(cut.result.isErr && cut.result.error.kind, "unreachable");
  let closed = false;
  const large = await fetchFrom(t, (_request, response) => {
    response.on("close", () => closed = true);
    response.write("x".repeat(2_000));
  });
  t.equal(large.result.isErr && large.result.error.kind, "too_large");
  await new Promise((resolve) => setTimeout(resolve, 50));
  t.ok(closed);
});

t.test("should decompress a body, and give up one that is damaged or too large when decompressed", async (t) => {
  const send = (body: Buffer): RequestListener => (request, response) => {
    const encoding = String(request.headers["accept-encoding"]);
    response.writeHead(200, { "content-encoding": encoding });
    response.end(body);
  };
  const options = { acceptsGzip: true };
  const small = gzipSync("x".repeat(900));
  const good = await fetchFrom(t, send(small), options);
  t.equal(good.result.isOk && good.result.value.body.length, 900);
  t.match(good.ends, [{ sizeBytes: small.length }]);
  for (const body of [small.subarray(0, -4), gzipSync("x".repeat(9_000))]) {
    const bad = await fetchFrom(t, send(body), options);
    t.equal(bad.result.isErr && bad.result.error.kind, "malformed");
  }
});
