import { createServer } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import t, { type Test } from "tap";
import {
  ChannelClient,
  type ChannelMessage,
  startChannelServer,
} from "@tanagercove/channel";
import { ConnectionAgents } from "./connection_agent.ts";
import { startExchange } from "./exchange.ts";

const ADDRESS = "127.33.8.1";
const CHANNEL_PORT = 18_690;
const TRIES = 60;

/** Time that is enough for what was sent to arrive on one host. */
const ARRIVAL_MS = 200;

/** How a request ends while the process is late: by its caller, its deadline or the limit on opening a connection. */
const ENDINGS = ["cancel", "deadline", "connect"] as const;

/** Sends a request that ends in one of three ways, and returns whether it may have been sent. */
type Send = (
  name: string,
  options: { readonly timeoutMs: number; readonly isCancelled: boolean },
) => Promise<boolean>;

/** Keeps the process from handling anything, as a pause does. */
function block(forMs: number): void {
  const untilMs = performance.now() + forMs;
  while (performance.now() < untilMs);
}

/** Checks that no request arrives that was reported as not sent; `arrived` is asked for the names at the end. */
async function checkNotSent(
  t: Test,
  { send, arrived }: {
    readonly send: Send;
    readonly arrived: () => readonly string[];
  },
): Promise<void> {
  const notSent: string[] = [];
  for (let i = 0; i < TRIES; i += 1) {
    const name = `/r${i}`;
    const ending = ENDINGS[i % ENDINGS.length]!;
    const ended = send(name, {
      timeoutMs: ending === "deadline" ? i % 4 : 1_000,
      isCancelled: ending === "cancel",
    });
    // From before the connection is open until after the limit on opening it.
    block(i % 12);
    if (!(await ended)) notSent.push(name);
  }
  await sleep(ARRIVAL_MS);
  t.ok(notSent.length > 0, `${notSent.length} were not sent`);
  t.same(notSent.filter((name) => arrived().includes(name)), []);
}

// Guards against "not run" for a request that is sent later: several events are due at once when the process resumes.
t.test("should send nothing on a connection after it has reported that nothing was sent", async (t) => {
  let received = "";
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.on("data", (bytes) => {
      received += bytes.toString();
      socket.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    });
  });
  await new Promise<void>((resolve) => server.listen(0, ADDRESS, resolve));
  t.teardown(() => server.close());
  const { port } = server.address() as { port: number };
  await checkNotSent(t, {
    async send(path, { timeoutMs, isCancelled }) {
      const agents = new ConnectionAgents({ maxIdleMs: 1_000 });
      const exchange = startExchange({
        agent: agents.forClass("non_idempotent"),
        destination: { address: ADDRESS, port },
        localAddress: ADDRESS,
        method: "GET",
        path,
        headers: [],
        body: undefined,
        timeoutMs,
        connectTimeoutMs: 4,
        maxAnswerBytes: 1_000,
      });
      if (isCancelled) setImmediate(() => exchange.cancel());
      const end = await exchange.ended;
      // The connection may still open, and the request must not be sent on it.
      await sleep(5);
      agents.close();
      return end.kind === "answered" || end.mayHaveBeenSent;
    },
    arrived: () =>
      [...received.matchAll(/GET (\S+)/g)].map(([, path]) => path!),
  });
});

t.test("should send nothing over a channel after it has reported that nothing was sent", async (t) => {
  const memory = { receive: () => ({ resize() {}, close() {} }) };
  const arrived: string[] = [];
  const answered = (message: ChannelMessage) => ({
    ended: Promise.resolve(message),
    cancel() {},
  });
  const server = await startChannelServer({
    address: ADDRESS,
    port: CHANNEL_PORT,
    maxBodyBytes: 1_000,
    memory,
    handle(request) {
      arrived.push(request.head.texts[0]!);
      return answered(request);
    },
    answerRefusedBody: () => ({
      head: { numbers: [], texts: [] },
      body: undefined,
    }),
    answerLargeHead: () => ({
      head: { numbers: [], texts: [] },
      body: undefined,
    }),
    holdAnswer: () => () => {},
    onProblem: ({ problem }) => t.fail(problem),
  });
  t.teardown(() => server.close());
  await checkNotSent(t, {
    async send(name, { timeoutMs, isCancelled }) {
      const client = new ChannelClient({
        localAddress: ADDRESS,
        maxBodyBytes: 1_000,
        memory,
        onProblem: ({ problem }) => t.fail(problem),
      });
      const exchange = client.send({
        destination: { address: ADDRESS, port: CHANNEL_PORT },
        message: { head: { numbers: [], texts: [name] }, body: undefined },
        timeoutMs,
        isIdempotent: false,
        onSilent: () => {},
      });
      if (isCancelled) setImmediate(() => exchange.cancel());
      const end = await exchange.ended;
      await sleep(5);
      client.close();
      return end.kind === "answered" || end.mayHaveBeenSent;
    },
    arrived: () => arrived,
  });
});
