import { createServer } from "node:http";
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import t, { type Test } from "tap";
import { waitFor } from "@tanagercove/test_helpers";
import type { CallerHandler } from "./caller_handler.ts";
import { setUpCallerHandler } from "./caller_handler_fixture.ts";
import { encodeTicket } from "./forwarding.ts";
import {
  forwardedRequest,
  openConnections,
  setUpPeerServer,
  TICKET,
} from "./peer_server_fixture.ts";

/** Starts a server that passes its requests to the handler; returns its port. */
async function listen(t: Test, handler: CallerHandler): Promise<number> {
  const server = createServer(handler.handle);
  t.teardown(() => {
    server.close();
    server.closeAllConnections();
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return (server.address() as { port: number }).port;
}

function requestHead(path: string): string {
  return `GET ${path} HTTP/1.1\r\nHost: shop.example\r\nX-Id: r\r\n\r\n`;
}

const CLOSES: Readonly<Record<string, (socket: Socket) => void>> = {
  "an orderly close": (socket) => socket.destroy(),
  "a reset": (socket) => socket.resetAndDestroy(),
};

// Guards against requests that reach the upstream long after their caller has left: a daemon that is behind reads a
// request before the close that has already arrived behind it.
for (const [name, close] of Object.entries(CLOSES)) {
  t.test(`should not run a forwarded request that is read together with ${name} of its connection`, async (t) => {
    const { port, runs } = await setUpPeerServer(t);
    const ticket = encodeTicket(TICKET);
    const [leaving, staying] = await openConnections(port, 2);
    t.teardown(() => staying!.destroy());
    leaving!.write(forwardedRequest(ticket, "/browse/leaving"));
    close(leaving!);
    staying!.write(forwardedRequest(ticket, "/browse/staying"));
    const paths = () => runs.map(({ path }) => path);
    await waitFor(() => paths().includes("/browse/staying"));
    t.same(paths(), ["/browse/staying"]);
  });
}

// Guards against requests that reach the upstream long after their caller has left: the closes are read only after all
// requests that were read at the same time have been passed on.
t.test("should not run forwarded requests whose senders leave while earlier ones are being started", async (t) => {
  const { port, runs, onRun } = await setUpPeerServer(t);
  const text = forwardedRequest(encodeTicket(TICKET));
  const sockets = await openConnections(port, 40);
  onRun(() => {
    if (runs.length === 1) sockets.forEach((socket) => socket.destroy());
  });
  sockets.forEach((socket) => socket.write(text));
  await waitFor(() => runs.length > 0);
  await sleep(50);
  t.ok(runs.length < 20, `${runs.length} of 40 requests were run`);
});

for (const [name, close] of Object.entries(CLOSES)) {
  t.test(`should not serve a request that is read together with ${name} of its connection`, async (t) => {
    const { handler, served } = setUpCallerHandler();
    const [leaving, staying] = await openConnections(
      await listen(t, handler),
      2,
    );
    leaving!.write(requestHead("/browse/leaving"));
    close(leaving!);
    staying!.write(requestHead("/browse/staying"));
    const paths = () => served.map(({ request }) => request.url);
    await waitFor(() => paths().includes("/browse/staying"));
    t.same(paths(), ["/browse/staying"]);
  });
}
