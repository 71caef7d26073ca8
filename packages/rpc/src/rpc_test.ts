import { once } from "node:events";
import { createServer, type Server } from "node:http";
import { type AddressInfo, connect, createServer as listenTcp } from "node:net";
import { gzipSync } from "node:zlib";
import fc from "fast-check";
import t, { type Test } from "tap";
import { Result } from "true-myth";
import { request } from "undici";
import { createCertificateAuthority } from "@tanagercove/emulator";
import { createPlainTransport } from "@tanagercove/keys";
import { SocketByteCounter } from "@tanagercove/metrics";
import { openTestTransport, waitFor } from "@tanagercove/test_helpers";
import {
  createRpcRequestHandler,
  type CreateRpcRequestHandlerOptions,
  RpcClient,
  type RpcHandlers,
  type RpcMethodHandler,
} from "./index.ts";

const SEED = 20_261_204;
const ADDRESS = "127.21.1.1";
const CALLER_ADDRESS = "127.21.1.2";

const echo: RpcMethodHandler = (params) => Promise.resolve(Result.ok(params));

function handlersWith(handlers: Partial<RpcHandlers> = {}): RpcHandlers {
  return {
    "digest.exchange": echo,
    "versions.push": echo,
    "versions.fetch": echo,
    "membership.leaving": echo,
    "status.summary": echo,
    ...handlers,
  };
}

async function serve(
  t: Test,
  options: Partial<CreateRpcRequestHandlerOptions> = {},
) {
  const handle = createRpcRequestHandler({
    handlers: handlersWith(),
    ...options,
  });
  const connections: string[] = [];
  const server = createServer((request, response) =>
    void handle(request, response)
  );
  server.on(
    "connection",
    (socket) => connections.push(socket.remoteAddress ?? ""),
  );
  const port = await listen(t, server);
  const peer = { address: ADDRESS, port };
  return { peer, connections, url: `http://${ADDRESS}:${port}/rpc` };
}

async function listen(t: Test, server: Server): Promise<number> {
  server.listen(0, ADDRESS);
  await once(server, "listening");
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  return (server.address() as AddressInfo).port;
}

function openClient(
  t: Test,
  options: ConstructorParameters<typeof RpcClient>[0] = {},
) {
  const client = new RpcClient(options);
  t.teardown(() => client.close());
  return client;
}

function errorOf(result: Result<unknown, { readonly kind: string }>): string {
  return result.isErr ? result.error.kind : "none";
}

t.test("should answer over one connection from the VM's own address", async (t) => {
  const { peer, connections } = await serve(t);
  const client = openClient(t, { localAddress: CALLER_ADDRESS });
  const calls = Array.from({ length: 5 }, (_, n) => ({
    method: "digest.exchange" as const,
    params: { n, text: "x".repeat(5_000 * n) },
  }));
  const results = await Promise.all(calls.map((c) => client.call(peer, c)));
  t.strictSame(
    results.map((result) => result.unwrapOr(undefined)),
    calls.map(({ params }) => params),
  );
  t.strictSame(connections, [CALLER_ADDRESS]);
});

t.test("should close the connection of a silent peer at the deadline and open a new one", async (t) => {
  let silent = true;
  const { peer, connections } = await serve(t, {
    handlers: handlersWith({
      "digest.exchange": (params) =>
        silent ? new Promise(() => {}) : echo(params),
    }),
  });
  const client = openClient(t);
  const call = { method: "digest.exchange", params: {}, timeoutMs: 100 };
  const startedMs = performance.now();
  const first = client.call(peer, { ...call, method: "digest.exchange" });
  const second = client.call(peer, { ...call, method: "digest.exchange" });
  t.equal(errorOf(await first), "timeout");
  t.equal(errorOf(await second), "timeout", "waiting time counts");
  t.ok(performance.now() - startedMs < 800, "before the server's deadline");
  silent = false;
  const third = await client.call(peer, {
    ...call,
    method: "digest.exchange",
    timeoutMs: 2_000,
  });
  t.ok(third.isOk);
  t.ok(connections.length >= 2);
});

t.test("should close the connection of a caller that sends only half a request", async (t) => {
  const { peer } = await serve(t, { receiveTimeoutMs: 100 });
  const socket = connect(peer.port, peer.address);
  socket.write("POST /rpc HTTP/1.1\r\nhost: a\r\ncontent-length: 100\r\n\r\n{");
  await once(socket.resume(), "close");
  t.pass("closed");
});

t.test("should close the connection when a handler passes the deadline", async (t) => {
  const { url } = await serve(t, {
    handlers: handlersWith({ "status.summary": () => new Promise(() => {}) }),
    timeoutMsByMethod: {
      "digest.exchange": 100,
      "versions.push": 100,
      "versions.fetch": 100,
      "membership.leaving": 100,
      "status.summary": 100,
    },
  });
  const body = JSON.stringify({
    jsonrpc: "2.0",
    id: 1,
    method: "status.summary",
  });
  await t.rejects(
    request(url, { method: "POST", body, headersTimeout: 5_000 }),
    { code: "UND_ERR_SOCKET" },
  );
});

t.test("should limit the size of bodies before and after decompression", async (t) => {
  const { url, peer } = await serve(t, { maxBodyBytes: 10_000 });
  const bomb = gzipSync(Buffer.alloc(1_000_000, " "));
  t.ok(bomb.length < 10_000);
  const zipped = await request(url, {
    method: "POST",
    body: bomb,
    headers: { "content-encoding": "gzip" },
  });
  t.equal(zipped.statusCode, 400);
  const plain = await request(url, { method: "POST", body: "x".repeat(20_000) })
    .then(({ statusCode }) => statusCode, () => 413);
  t.equal(plain, 413);
  const client = openClient(t, { maxBodyBytes: 1_000 });
  const params = { text: "x".repeat(9_000) };
  const answer = await client.call(peer, { method: "versions.push", params });
  t.ok(answer.isErr, "a response larger than the limit of the client");
});

t.test("should limit the calls open to one peer", async (t) => {
  const { peer } = await serve(t, {
    handlers: handlersWith({ "versions.push": () => new Promise(() => {}) }),
  });
  const client = openClient(t, { maxCallsPerPeer: 2 });
  const call = () =>
    client.call(peer, { method: "versions.push", params: 1, timeoutMs: 200 });
  const results = await Promise.all([call(), call(), call(), call()]);
  t.strictSame(results.map(errorOf), ["timeout", "timeout", "busy", "busy"]);
});

t.test("should close idle connections, and the least recently used one above the limit", async (t) => {
  const servers = await Promise.all([1, 2, 3].map(() => serve(t)));
  const client = openClient(t, { maxConnections: 2, idleMs: 300 });
  for (const { peer } of servers) {
    const call = { method: "digest.exchange", params: 1 } as const;
    t.ok((await client.call(peer, call)).isOk);
  }
  t.equal(client.connectionCount, 2);
  await waitFor(() => client.connectionCount === 0);
});

t.test("should count the same bytes at both ends, headers included", async (t) => {
  const received = new SocketByteCounter();
  const sent = new SocketByteCounter();
  const { peer } = await serve(t, { bytes: received });
  const client = openClient(t, { bytes: sent });
  const params = { text: "ab".repeat(200) };
  await client.call(peer, { method: "digest.exchange", params });
  await client.close();
  const { sentBytes, receivedBytes } = sent.totals();
  t.ok(sentBytes > 500 && receivedBytes > 500);
  await waitFor(() => received.totals().receivedBytes === sentBytes);
  t.equal(received.totals().sentBytes, receivedBytes);
});

// A VM must not send messages in the name of another VM, neither as the caller nor as the responder.
t.test("should refuse messages that claim to come from a VM other than the authenticated one", async (t) => {
  const transport = (authenticatedVmId: string) => ({
    ...createPlainTransport(),
    isAuthorizedAs: (_socket: unknown, vmId: string) =>
      vmId === authenticatedVmId,
  });
  const sender = { vm_id: "a-1", process_id: "p" };
  const answer: RpcMethodHandler = () =>
    Promise.resolve(Result.ok({ sender, vm_id: "a-1" }));
  const handlers = handlersWith({
    "digest.exchange": answer,
    "status.summary": answer,
  });
  const methods = Object.keys(handlers) as (keyof RpcHandlers)[];
  const refusedMethods = async (caller: string, responder: string) => {
    const { peer } = await serve(t, {
      handlers,
      transport: transport(caller),
    });
    const client = openClient(t, { transport: transport(responder) });
    const results = await Promise.all(
      methods.map((method) =>
        client.call(peer, { method, params: { sender, vm_id: "a-1" } })
      ),
    );
    return methods.filter((_, index) => results[index]!.isErr);
  };
  t.same(await refusedMethods("a-1", "a-1"), []);
  t.same(await refusedMethods("b-1", "a-1"), [
    "digest.exchange",
    "versions.push",
    "versions.fetch",
    "membership.leaving",
  ]);
  t.same(await refusedMethods("a-1", "b-1"), [
    "digest.exchange",
    "status.summary",
  ]);
});

t.test("should end a call at its deadline when the TLS handshake gets no response", async (t) => {
  const { transport } = await openTestTransport(t, {
    vmId: "a-1",
    addresses: [ADDRESS],
    authority: await createCertificateAuthority(),
  });
  const silent = listenTcp((socket) => socket.on("error", () => {}).resume());
  silent.listen(0, ADDRESS);
  await once(silent, "listening");
  const { port } = silent.address() as AddressInfo;
  const result = await openClient(t, { transport }).call(
    { address: ADDRESS, port },
    { method: "digest.exchange", params: {}, timeoutMs: 200 },
  );
  t.equal(errorOf(result), "timeout");
  await transport.close();
  await new Promise((resolve) => silent.close(resolve));
});

t.test("should survive any response of a hostile peer", async (t) => {
  let body = "";
  const server = createServer((_request, response) => {
    response.end(body);
  });
  const peer = { address: ADDRESS, port: await listen(t, server) };
  const client = openClient(t);
  const json = fc.oneof(
    fc.json(),
    fc.record({
      jsonrpc: fc.constant("2.0"),
      id: fc.constantFrom(1, 2, null),
      result: fc.option(fc.jsonValue(), { nil: undefined }),
      error: fc.option(fc.jsonValue(), { nil: undefined }),
    }).map((message) => JSON.stringify(message)),
    fc.string(),
  );
  t.comment(`seed ${SEED}`);
  await fc.assert(
    fc.asyncProperty(json, async (text) => {
      body = text;
      const call = { method: "status.summary", params: {} } as const;
      await client.call(peer, call);
    }),
    { seed: SEED, numRuns: 300 },
  );
  const call = { method: "status.summary", params: {} } as const;
  body = '{"jsonrpc":"2.0","id":1,"result":"still working"}';
  t.equal((await client.call(peer, call)).unwrapOr(""), "still working");
});

t.test("should answer any request without an exception", async (t) => {
  const faults: string[] = [];
  const { url } = await serve(t, {
    onHandlerError: (fault) => faults.push(fault),
  });
  const message = fc.oneof(
    fc.json(),
    fc.string(),
    fc.record({
      jsonrpc: fc.constantFrom("2.0", "1.0"),
      id: fc.jsonValue(),
      method: fc.constantFrom("status.summary", "toString", "__proto__", ""),
      params: fc.jsonValue(),
    }).map((fields) => JSON.stringify(fields)),
  );
  t.comment(`seed ${SEED}`);
  await fc.assert(
    fc.asyncProperty(message, async (body) => {
      const response = await request(url, { method: "POST", body });
      await response.body.dump();
      return [200, 204, 400].includes(response.statusCode);
    }),
    { seed: SEED, numRuns: 300 },
  );
  t.strictSame(faults, []);
});

t.test("should report a peer that refuses connections as unreachable", async (t) => {
  const server = listenTcp().listen(0, ADDRESS);
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  const call = { method: "digest.exchange", params: {} } as const;
  const result = await openClient(t).call({ address: ADDRESS, port }, call);
  t.equal(errorOf(result), "unreachable");
});
