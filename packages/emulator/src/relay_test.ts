import { once } from "node:events";
import { createServer, type Server, type Socket } from "node:net";
import { connect } from "node:net";
import t from "tap";
import { waitFor } from "@tanagercove/test_helpers";
import { claimAddressBlock } from "./address_block.ts";
import { listen } from "./listen.ts";
import { Relay } from "./relay.ts";

const PORT = 8_080;
const BOTH_ZONES = {
  from: { zone: "a" },
  to: { zone: "b" },
  bothWays: true,
} as const;

/** Starts a relay between two VMs in different zones; the second VM echoes what it receives. */
async function startPair(t: { teardown(close: () => Promise<void>): void }) {
  const block = await claimAddressBlock();
  const [a, b] = [{ zone: 0, vm: 1 }, { zone: 1, vm: 1 }];
  const arrived: Socket[] = [];
  const echo: Server = createServer((socket) => {
    arrived.push(socket);
    socket.on("error", () => {});
    socket.pipe(socket);
  });
  await listen(echo, { host: block.listenAddress(b), port: PORT });
  const relay = new Relay();
  for (const [position, id] of [[a, "vm-a"], [b, "vm-b"]] as const) {
    await relay.addTarget({
      endpoint: { kind: "vm", id, zone: id.slice(-1) },
      publishedAddress: block.publishedAddress(position),
      address: block.listenAddress(position),
      ports: [PORT],
    });
  }
  const opened: Socket[] = [];
  t.teardown(async () => {
    for (const socket of [...opened, ...arrived]) socket.destroy();
    await relay.close();
    echo.close();
    await block.close();
  });
  const open = () => {
    const socket = connect({
      host: block.publishedAddress(b),
      port: PORT,
      localAddress: block.listenAddress(a),
    });
    const received = { text: "", error: undefined as Error | undefined };
    socket.on("data", (chunk) => received.text += chunk);
    socket.on("error", (error) => received.error = error);
    opened.push(socket);
    return { socket, received };
  };
  return { relay, open, arrived };
}

t.test("should forward data between the published and the listen address and count it by link", async (t) => {
  const { relay, open, arrived } = await startPair(t);
  const { socket, received } = open();
  socket.write("hello");
  await waitFor(() => received.text === "hello");
  t.equal(arrived[0]?.remoteAddress, socket.localAddress);
  const [traffic] = relay.traffic;
  t.match(traffic, {
    from: "vm-a",
    to: "vm-b",
    sentBytes: 5,
    receivedBytes: 5,
  });
});

t.test("should forward the end of one direction, so that an answer sent after the end of a request arrives", async (t) => {
  const { open } = await startPair(t);
  const { socket, received } = open();
  socket.end("last words");
  await once(socket, "close");
  t.equal(received.text, "last words");
});

t.test("should reset open connections and refuse new ones while a link is cut", async (t) => {
  const { relay, open } = await startPair(t);
  const first = open();
  first.socket.write("x");
  await waitFor(() => first.received.text === "x");
  const rule = relay.addRule({ ...BOTH_ZONES, action: "cut" });
  await waitFor(() => first.received.error);
  const second = open();
  await waitFor(() => second.received.error);
  t.equal(relay.traffic[0]?.refusedConnections, 1);
  rule.remove();
  const third = open();
  third.socket.write("y");
  await waitFor(() => third.received.text === "y");
});

t.test("should hold all data of a silent link and deliver it in order when the rule is removed", async (t) => {
  const { relay, open, arrived } = await startPair(t);
  const before = open();
  before.socket.write("1");
  await waitFor(() => before.received.text === "1");
  const rule = relay.addRule({ ...BOTH_ZONES, action: "silent" });
  before.socket.write("2");
  before.socket.write("3");
  const during = open();
  during.socket.write("4");
  await once(during.socket, "connect");
  await new Promise((resolve) => setTimeout(resolve, 150));
  t.same([before.received.text, during.received.text], ["1", ""]);
  t.equal(arrived.length, 1);
  rule.remove();
  await waitFor(() =>
    before.received.text === "123" && during.received.text === "4"
  );
  t.notOk(before.received.error ?? during.received.error);
});

t.test("should discard the data of open connections for good while new ones pass", async (t) => {
  const { relay, open } = await startPair(t);
  const before = open();
  before.socket.write("1");
  await waitFor(() => before.received.text === "1");
  const rule = relay.addRule({
    ...BOTH_ZONES,
    action: "silent",
    newConnections: "pass",
  });
  before.socket.write("2");
  const after = open();
  after.socket.write("3");
  await waitFor(() => after.received.text === "3");
  rule.remove();
  after.socket.write("4");
  await waitFor(() => after.received.text === "34");
  t.equal(before.received.text, "1");
  t.notOk(before.socket.destroyed);
});

t.test("should delay each direction without changing the order", async (t) => {
  const { relay, open } = await startPair(t);
  relay.addRule({ ...BOTH_ZONES, delayMs: 60 });
  const { socket, received } = open();
  const startedAtMs = performance.now();
  for (const word of ["a", "b", "c"]) socket.write(word);
  await waitFor(() => received.text === "abc", { intervalMs: 1 });
  t.ok(performance.now() - startedAtMs >= 120);
});

t.test("should refuse connections to a process that has ended, so that callers know that nothing reached it", async (t) => {
  const { relay, open } = await startPair(t);
  await relay.refuse("vm-b", [PORT]);
  const { socket, received } = open();
  await waitFor(() => received.error);
  t.match(received.error, { code: "ECONNREFUSED" });
  t.ok(socket.destroyed);
  await relay.accept("vm-b", [PORT]);
  const again = open();
  again.socket.write("x");
  await waitFor(() => again.received.text === "x");
});
