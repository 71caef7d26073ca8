import { createServer } from "node:http";
import { type AddressInfo, connect } from "node:net";
import t, { type Test } from "tap";
import { waitFor } from "@tanagercove/test_helpers";
import { CallerConnections } from "./caller_connections.ts";
import type { CallerRequest } from "./caller_request.ts";
import { callerHead } from "./request_fixture.ts";

async function setUp(t: Test) {
  const connections = new CallerConnections();
  const callers: CallerRequest[] = [];
  const requestsAfterClose: string[] = [];
  const server = createServer((request, response) => {
    if (connections.isClosing(request.socket)) {
      requestsAfterClose.push(request.url!);
      return;
    }
    const caller: CallerRequest = {
      request,
      response,
      head: callerHead({ path: request.url! }),
      requestId: request.url!,
      startedMs: 0,
      attempts: [],
      isDisconnected: false,
      cancel: undefined,
    };
    connections.add(caller);
    callers.push(caller);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
  let received = "";
  let isEnded = false;
  socket.on("data", (chunk) => received += chunk);
  socket.on("end", () => isEnded = true);
  t.teardown(() => {
    socket.destroy();
    server.close();
    server.closeAllConnections();
  });
  const send = (...paths: readonly string[]) =>
    socket.write(
      paths.map((path) => `GET ${path} HTTP/1.1\r\nhost: a\r\n\r\n`).join(""),
    );
  return {
    connections,
    callers,
    requestsAfterClose,
    socket,
    send,
    received: () => received,
    isEnded: () => isEnded,
  };
}

// Guards against a stop that lasts until the process is killed. When an answer had closed its connection,
// the answers queued behind it were never sent, and their requests stayed in flight.
t.test("should end all requests of a connection when it closes", async (t) => {
  const { connections, callers, socket, send } = await setUp(t);
  send("/1", "/2", "/3");
  await waitFor(() => callers.length === 3);
  t.equal(connections.inFlight, 3);
  let cancelled = 0;
  for (const caller of callers) caller.cancel = () => cancelled += 1;
  callers[1]!.response.end("ready, but behind the first");
  socket.destroy();
  await waitFor(() => connections.inFlight === 0);
  t.ok(callers.every(({ isDisconnected }) => isDisconnected));
  t.equal(cancelled, 3);
  t.same([...connections], []);
});

// Guards against closing a connection after one answer while later requests on it are still running:
// their answers would be lost.
t.test("should close a connection only after all answers in flight, and take no new request before that", async (t) => {
  const { connections, callers, requestsAfterClose, send, received, isEnded } =
    await setUp(t);
  send("/1", "/2");
  await waitFor(() => callers.length === 2);
  connections.closeAfterAnswer(callers[1]!);
  callers[1]!.response.end("two");
  send("/3");
  await waitFor(() => requestsAfterClose.length === 1);
  connections.closeAfterAnswer(callers[0]!);
  callers[0]!.response.end("one");
  await waitFor(isEnded);
  const answers = received().split("HTTP/1.1 200").slice(1);
  t.equal(answers.length, 2);
  t.match(answers[0], /keep-alive[\s\S]*one/);
  t.match(answers[1], /close[\s\S]*two/);
  t.notOk(
    callers.some(({ isDisconnected }) => isDisconnected),
    "both answers were sent",
  );
  await waitFor(() => connections.inFlight === 0);
});

// Guards against a stop that ends before a caller, which has closed its own side of the connection, has read an answer
// that was ready.
t.test("should count an answer as in flight until it is sent, although the caller sends nothing more", async (t) => {
  const { connections, callers, socket, send, received } = await setUp(t);
  const sizeBytes = 8 * 1024 * 1024;
  send("/1");
  await waitFor(() => callers.length === 1);
  socket.pause();
  callers[0]!.response.end("x".repeat(sizeBytes));
  const isEnded = new Promise((resolve) =>
    callers[0]!.request.socket.once("end", resolve)
  );
  socket.end();
  await isEnded;
  t.equal(connections.inFlight, 1);
  t.notOk(callers[0]!.isDisconnected);
  socket.resume();
  await waitFor(() => connections.inFlight === 0);
  t.notOk(callers[0]!.isDisconnected, "the whole answer was sent");
  await waitFor(() => received().length > sizeBytes);
});
