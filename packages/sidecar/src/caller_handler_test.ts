import { createServer, IncomingMessage, ServerResponse } from "node:http";
import { type AddressInfo, connect, Socket } from "node:net";
import t from "tap";
import { waitFor } from "@tanagercove/test_helpers";
import type { RoutedRequest } from "./caller_request.ts";
import { createMemory } from "./memory_fixture.ts";
import { setUpCallerHandler } from "./caller_handler_fixture.ts";

/** Passes a request to the handler; returns it once it is served. */
async function handle(
  { handler, served }: ReturnType<typeof setUpCallerHandler>,
  timeLeft: string,
): Promise<RoutedRequest> {
  const servedBefore = served.length;
  const request = new IncomingMessage(new Socket());
  request.method = "GET";
  request.url = "/browse/x";
  request.headers = { host: "shop.example", "x-id": "r", "x-left": timeLeft };
  handler.handle(request, new ServerResponse(request));
  request.complete = true;
  request.push(null);
  await waitFor(() => served.length > servedBefore);
  return served.at(-1)!;
}
// Guards against one caller that makes all later requests of its route fail: the time since their first attempt was
// estimated as infinite, and other daemons refused their tickets as malformed.
t.test("should treat an infinite time left as missing", async (t) => {
  const callers = setUpCallerHandler();
  for (const timeLeft of ["Infinity", "-Infinity", "1e999"]) {
    const { deadlineAtMs, objectiveAtMs } = await handle(callers, timeLeft);
    t.ok(Number.isFinite(deadlineAtMs), `deadline for ${timeLeft}`);
    t.ok(Number.isFinite(objectiveAtMs), `objective for ${timeLeft}`);
  }
  const { objectiveAtMs } = await handle(callers, "900");
  t.ok(Number.isFinite(objectiveAtMs), "objective of a later request");
});

// Guards against memory that bodies of callers keep which left, or whose requests were refused.
t.test("should give the memory of a body back, whatever becomes of its request", async (t) => {
  const memory = createMemory();
  const { handler } = setUpCallerHandler({ memory });
  const server = createServer((request, response) => {
    handler.handle(request, response);
  });
  server.on("checkContinue", handler.handle);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  t.teardown(() => {
    server.close();
    server.closeAllConnections();
  });
  const send = (fields: string, body: string) => {
    const socket = connect(port, "127.0.0.1");
    t.teardown(() => socket.destroy());
    let answer = "";
    socket.on("data", (chunk) => answer += chunk);
    socket.on("error", () => {});
    socket.write(
      `POST /browse/x HTTP/1.1\r\nHost: shop.example\r\n${fields}\r\n\r\n${body}`,
    );
    return { socket, answer: () => answer };
  };
  const used = () => memory.usedBytes("caller_bodies");
  const unnamed = send("Content-Length: 3", "abc");
  await waitFor(() => unnamed.answer().startsWith("HTTP/1.1 400"));
  t.equal(used(), 0, "refused as malformed");
  const left = send("X-Id: r\r\nContent-Length: 900", "abc");
  await waitFor(() => used() === 900);
  left.socket.resetAndDestroy();
  await waitFor(() => used() === 0);
  const slow = send("X-Id: r\r\nX-Left: 50\r\nContent-Length: 900", "abc");
  await waitFor(() => slow.answer().startsWith("HTTP/1.1 503"));
  t.match(slow.answer(), "deadline_before_start");
  t.equal(used(), 0);
  const large = send(
    "X-Id: r\r\nExpect: 100-continue\r\nContent-Length: 1001",
    "",
  );
  await waitFor(() => large.answer() !== "");
  t.match(large.answer(), /^HTTP\/1.1 413/, "no 100 before it");
});

// Load: callers that read large answers slowly. An upstream cuts off what is not read, so the daemon holds them.
t.test("should count an answer that its caller reads slowly, and no longer the body of its request", async (t) => {
  const memory = createMemory();
  const answerBytes = 20_000_000;
  const { handler } = setUpCallerHandler({
    memory,
    serve: () =>
      Promise.resolve({
        kind: "answered",
        answer: { status: 200, headers: [], body: Buffer.alloc(answerBytes) },
      }),
  });
  const server = createServer((request, response) => {
    handler.handle(request, response);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const socket = connect(port, "127.0.0.1");
  t.teardown(() => {
    socket.destroy();
    server.close();
    server.closeAllConnections();
  });
  socket.write(
    "POST /browse/x HTTP/1.1\r\nHost: shop.example\r\nX-Id: r\r\n" +
      "Content-Length: 3\r\n\r\nabc",
  );
  await waitFor(() => memory.usedBytes("answers") === answerBytes);
  t.equal(memory.usedBytes("caller_bodies"), 0);
  let wasEnded = false;
  memory.answers.receive(() => wasEnded = true).resize(1);
  t.ok(wasEnded, "another one that is received finds no room");
  socket.resume();
  await waitFor(() => memory.usedBytes("answers") === 0);
});

// Guards against heap that fills with the heads of requests behind one whose answer closes the connection.
t.test("should keep no head of a request that gets no answer", async (t) => {
  const { handler } = setUpCallerHandler({
    serve: () => new Promise(() => {}),
  });
  const requests: IncomingMessage[] = [];
  const server = createServer((request, response) => {
    requests.push(request);
    handler.handle(request, response);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const socket = connect(port, "127.0.0.1");
  t.teardown(() => {
    socket.destroy();
    server.close();
    server.closeAllConnections();
  });
  const head = "GET /browse/x HTTP/1.1\r\nHost: shop.example\r\nX-Id: r\r\n";
  socket.write(`${head}Connection: Upgrade\r\nUpgrade: h2c\r\n\r\n`);
  await waitFor(() => requests.length === 1);
  socket.write(`${head}\r\n`);
  await waitFor(() => requests.length === 2);
  t.same(requests.map(({ rawHeaders }) => rawHeaders), [[], []]);
  t.equal(handler.inFlight, 1);
});
