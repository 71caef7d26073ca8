import { connect, createServer, type Server, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import t, { type Test } from "tap";
import { waitFor } from "@tanagercove/test_helpers";
import { ChannelClient, type ChannelEnd } from "./channel_client.ts";
import type { BodyMemory, ChannelMessage } from "./channel_message.ts";
import { type ChannelRun, startChannelServer } from "./channel_server.ts";
import { encodeFrame } from "./frames.ts";
import { encodeHello, MessageCodec } from "./message_codec.ts";

const ADDRESS = "127.33.7.1";

let nextPort = 18_700;

const UNBOUNDED: BodyMemory = {
  receive: () => ({ resize: () => {}, close: () => {} }),
};

interface Served {
  readonly request: ChannelMessage;
  readonly answer: (message?: ChannelMessage) => void;
  wasCancelled: boolean;
}

const message = (name: string, body?: Buffer): ChannelMessage => ({
  head: { numbers: [1], texts: [name] },
  body,
});

async function setUp(
  t: Test,
  { maxBodyBytes = 50_000_000, memory = UNBOUNDED } = {},
) {
  const port = nextPort += 1;
  const served: Served[] = [];
  const problems: string[] = [];
  let answersAtOnce = false;
  const server = await startChannelServer({
    address: ADDRESS,
    port,
    maxBodyBytes,
    memory,
    handle(request): ChannelRun {
      if (answersAtOnce) {
        return { ended: Promise.resolve(request), cancel: () => {} };
      }
      let answer!: (message?: ChannelMessage) => void;
      const ended = new Promise<ChannelMessage | undefined>((resolve) =>
        answer = resolve
      );
      const entry = { request, answer, wasCancelled: false };
      served.push(entry);
      return { ended, cancel: () => entry.wasCancelled = true };
    },
    answerRefusedBody: () => message("refused"),
    answerLargeHead: () => message("large head"),
    holdAnswer: () => () => {},
    onProblem: ({ problem }) => problems.push(problem),
  });
  const client = startClient(t, problems);
  t.teardown(() => server.close());
  return {
    port,
    server,
    served,
    problems,
    client,
    answerAtOnce: () => answersAtOnce = true,
    send: (
      name: string,
      options: Partial<Parameters<ChannelClient["send"]>[0]> = {},
    ) => send(client, { port, name, ...options }),
  };
}

function startClient(t: Test, problems: string[] = []): ChannelClient {
  const client = new ChannelClient({
    localAddress: ADDRESS,
    maxBodyBytes: 50_000_000,
    memory: UNBOUNDED,
    onProblem: ({ problem }) => problems.push(`client: ${problem}`),
  });
  t.teardown(() => client.close());
  return client;
}

function send(
  client: ChannelClient,
  { port, name, ...options }: {
    readonly port: number;
    readonly name: string;
  } & Partial<Parameters<ChannelClient["send"]>[0]>,
) {
  return client.send({
    destination: { address: ADDRESS, port },
    message: message(name),
    timeoutMs: 5_000,
    isIdempotent: true,
    onSilent: () => {},
    ...options,
  });
}

function nameOf(end: ChannelEnd): string {
  return end.kind === "answered" ? end.message.head.texts[0]! : end.failure;
}

t.test("should answer many requests over one connection, in any order", async (t) => {
  const { client, served, send } = await setUp(t);
  const exchanges = Array.from({ length: 100 }, (_, i) => send(`r${i}`));
  await waitFor(() => served.length === 100);
  for (const { request, answer } of served.toReversed()) {
    answer({ ...request, body: Buffer.from(request.head.texts[0]!) });
  }
  const ends = await Promise.all(exchanges.map(({ ended }) => ended));
  t.same(ends.map(nameOf), Array.from({ length: 100 }, (_, i) => `r${i}`));
  for (const end of ends) {
    if (end.kind !== "answered") return t.fail(end.failure);
    t.equal(String(end.message.body), end.message.head.texts[0]);
  }
  t.equal(client.opened, 1);
});

/** Heads that fit into no frame, or have more texts than a daemon reads. */
const LARGE_HEADS: Readonly<Record<string, readonly string[]>> = {
  "many texts": Array.from({ length: 20_000 }, (_, i) => String(i)),
  "long texts": ["a".repeat(70_000), "b".repeat(70_000)],
  "long in UTF-8": ["\u00e9".repeat(60_000)],
  "one long text": ["\u00e9".repeat(45_000)],
};

// Guards against one large head that closes the connection and with it all other exchanges between two daemons.
t.test("should send no head that the other end cannot read, and keep the connection", async (t) => {
  const { client, served, problems, send } = await setUp(t);
  const other = send("other");
  await waitFor(() => served.length === 1);
  for (const [name, texts] of Object.entries(LARGE_HEADS)) {
    const large = send("large", {
      message: { head: { numbers: [1], texts }, body: undefined },
    });
    t.same(await large.ended, {
      kind: "failed",
      failure: "head_too_large",
      mayHaveBeenSent: false,
    }, `request: ${name}`);
    const asked = send("asked");
    await waitFor(() => served.length > 1);
    served.pop()!.answer({ head: { numbers: [1], texts }, body: undefined });
    t.equal(nameOf(await asked.ended), "large head", `answer: ${name}`);
  }
  served[0]!.answer(message("other"));
  t.equal(nameOf(await other.ended), "other");
  t.equal(client.opened, 1);
  t.same(problems, []);
});

// Guards against a short answer or a cancellation that waits for megabytes in front of it.
t.test("should send a short message between the pieces of a long one", async (t) => {
  const { served, send } = await setUp(t);
  const body = Buffer.alloc(20_000_000, 7);
  const order: string[] = [];
  const long = send("long");
  const short = send("short");
  void long.ended.then(() => order.push("long"));
  void short.ended.then(() => order.push("short"));
  await waitFor(() => served.length === 2);
  served[0]!.answer(message("long", body));
  served[1]!.answer(message("short"));
  const end = await long.ended;
  await short.ended;
  t.same(order, ["short", "long"]);
  t.ok(end.kind === "answered" && end.message.body!.equals(body));
});

t.test("should send request bodies whole", async (t) => {
  const { send, answerAtOnce } = await setUp(t);
  answerAtOnce();
  for (const size of [0, 1, 16_384, 16_385, 1_000_000]) {
    const body = Buffer.alloc(size, size % 251);
    const { ended } = send("b", { message: message("b", body) });
    const end = await ended;
    t.ok(end.kind === "answered" && end.message.body!.equals(body), `${size}`);
  }
});

t.test("should cancel a request at the other daemon when its caller leaves or its deadline passes", async (t) => {
  const { served, send, client } = await setUp(t);
  const left = send("left");
  const late = send("late", { timeoutMs: 200 });
  const kept = send("kept");
  await waitFor(() => served.length === 3);
  left.cancel();
  t.match(await left.ended, { failure: "cancelled", mayHaveBeenSent: true });
  t.match(await late.ended, { failure: "deadline", mayHaveBeenSent: true });
  await waitFor(() => served[0]!.wasCancelled && served[1]!.wasCancelled);
  t.notOk(served[2]!.wasCancelled, "the others go on");
  served[2]!.answer(message("kept"));
  t.equal(nameOf(await kept.ended), "kept");
  t.equal(client.opened, 1);
});

// Guards against requests that run although their caller had left before they were read.
t.test("should not start a request that is read together with its cancellation", async (t) => {
  const { port, served, answerAtOnce } = await setUp(t);
  void answerAtOnce;
  const socket = connect({ host: ADDRESS, port });
  t.teardown(() => socket.destroy());
  const codec = new MessageCodec();
  const request = (name: string) =>
    Buffer.from(codec.encode({ numbers: [], texts: [name] }, {
      bodyBytes: undefined,
      firstBytes: Buffer.alloc(0),
    }));
  const none = Buffer.alloc(0);
  socket.write(Buffer.concat([
    encodeFrame("hello", { exchangeId: 0, payload: encodeHello() }),
    encodeFrame("request", { exchangeId: 1, payload: request("gone") }),
    encodeFrame("request", { exchangeId: 2, payload: request("kept") }),
    encodeFrame("cancel", { exchangeId: 1, payload: none }),
  ]));
  await waitFor(() => served.length > 0);
  t.same(served.map(({ request }) => request.head.texts), [["kept"]]);
});

t.test("should cancel all requests of a connection that ends, and report the true outcome", async (t) => {
  const { served, send, server } = await setUp(t);
  const sent = send("sent");
  await waitFor(() => served.length === 1);
  await Promise.all([
    server.close(),
    sent.ended.then((end) =>
      t.match(end, { failure: "cut", mayHaveBeenSent: true })
    ),
  ]);
  await waitFor(() => served[0]!.wasCancelled);
  const refused = await send("refused").ended;
  t.match(refused, { failure: "connect_refused", mayHaveBeenSent: false });
});

t.test("should end only the exchange whose handler fails", async (t) => {
  const { served, send } = await setUp(t);
  const [failed, kept] = [send("failed"), send("kept")];
  await waitFor(() => served.length === 2);
  served[0]!.answer(undefined);
  t.match(await failed.ended, { failure: "cut", mayHaveBeenSent: true });
  served[1]!.answer(message("kept"));
  t.equal(nameOf(await kept.ended), "kept");
});

t.test("should confirm a request that takes long, and none that is answered soon", async (t) => {
  const { served, send } = await setUp(t);
  let silences = 0;
  const { ended } = send("slow", { onSilent: () => silences += 1 });
  await waitFor(() => served.length === 1);
  await sleep(600);
  t.equal(silences, 0);
  served[0]!.answer(message("slow"));
  t.equal(nameOf(await ended), "slow");
});

/** A daemon that accepts connections and is silent on some of them. */
async function startSilentServer(
  t: Test,
  { isSilent, opens = true }: {
    readonly isSilent: (connection: number) => boolean;
    readonly opens?: boolean;
  },
) {
  const port = nextPort += 1;
  const sockets: Socket[] = [];
  const requests: { connection: number; text: string }[] = [];
  const server: Server = createServer((socket) => {
    const connection = sockets.push(socket);
    socket.on("error", () => {});
    if (opens) {
      socket.write(encodeFrame("hello", {
        exchangeId: 0,
        payload: encodeHello(),
      }));
    }
    socket.on("data", (chunk) => {
      const text = chunk.toString("latin1");
      if (!text.includes("request")) {
        const isPing = chunk.length === 13 && chunk[8] === 6;
        const none = Buffer.alloc(0);
        if (isPing && !isSilent(connection)) {
          socket.write(encodeFrame("pong", { exchangeId: 0, payload: none }));
        }
        return;
      }
      requests.push({ connection, text });
      if (isSilent(connection)) return;
      const payload = Buffer.from(
        new MessageCodec().encode({ numbers: [], texts: ["answer"] }, {
          bodyBytes: undefined,
          firstBytes: Buffer.alloc(0),
        }),
      );
      const ids = { 1: 1, 2: 2 } as Record<number, number>;
      const count = requests.filter((r) => r.connection === connection).length;
      socket.write(encodeFrame("answer", { exchangeId: ids[count]!, payload }));
    });
  });
  await new Promise<void>((resolve) => server.listen(port, ADDRESS, resolve));
  t.teardown(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  return { port, sockets, requests };
}

// Guards against 502 for a request that may run once only: it was sent on an idle connection that had gone silent.
t.test("should not send a non-idempotent request on an idle connection that does not answer", async (t) => {
  const silent = new Set<number>();
  const { port, requests } = await startSilentServer(t, {
    isSilent: (connection) => silent.has(connection),
  });
  const client = startClient(t);
  const options = { port, isIdempotent: false };
  const first = await send(client, { ...options, name: "request 1" }).ended;
  t.equal(nameOf(first), "answer");
  await sleep(350);
  const second = await send(client, { ...options, name: "request 2" }).ended;
  t.equal(nameOf(second), "answer", "it answers, so it is used");
  t.equal(client.opened, 1);
  await sleep(350);
  silent.add(1);
  const third = await send(client, { ...options, name: "request 3" }).ended;
  t.equal(nameOf(third), "answer");
  t.equal(client.opened, 2);
  t.same(requests.map(({ connection }) => connection), [1, 1, 2]);
});

t.test("should use a new connection while a request on the current one is silent", async (t) => {
  const { port } = await startSilentServer(t, {
    isSilent: (connection) => connection === 1,
  });
  const client = startClient(t);
  let silences = 0;
  const stuck = send(client, {
    port,
    name: "request",
    timeoutMs: 1_500,
    onSilent: () => silences += 1,
  });
  await waitFor(() => silences > 0);
  const next = await send(client, { port, name: "request" }).ended;
  t.equal(nameOf(next), "answer");
  t.match(await stuck.ended, { failure: "deadline", mayHaveBeenSent: true });
  t.equal(client.opened, 2);
});

t.test("should report not sent if the other daemon accepts a connection and says nothing", async (t) => {
  const { port, requests } = await startSilentServer(t, {
    isSilent: () => true,
    opens: false,
  });
  const end = await send(startClient(t), { port, name: "request" }).ended;
  t.match(end, { failure: "connect_failed", mayHaveBeenSent: false });
  t.same(requests, []);
});

t.test("should refuse another version of the protocol", async (t) => {
  const { port, problems } = await setUp(t);
  const socket = connect({ host: ADDRESS, port });
  socket.on("error", () => {});
  socket.resume();
  const closed = new Promise((resolve) => socket.once("close", resolve));
  const payload = encodeHello({ version: 2 });
  socket.write(encodeFrame("hello", { exchangeId: 0, payload }));
  await closed;
  await waitFor(() => problems.length > 0);
  t.same(problems, ["unknown_version"]);
});

// Guards against a peer that sends bytes that are no message, without end.
for (
  const [name, bytes, problem] of [
    ["no frames", Buffer.alloc(70_000, 0x47), "frame_too_large"],
    [
      "a message before the hello",
      encodeFrame("cancel", { exchangeId: 1, payload: Buffer.alloc(0) }),
      "no_hello",
    ],
    [
      "a head that cannot be decoded",
      Buffer.concat([
        encodeFrame("hello", { exchangeId: 0, payload: encodeHello() }),
        encodeFrame("request", { exchangeId: 1, payload: Buffer.alloc(9, 7) }),
      ]),
      "malformed",
    ],
  ] as const
) {
  t.test(`should close a connection that sends ${name}, and serve the others`, async (t) => {
    const { port, problems, send, answerAtOnce } = await setUp(t);
    answerAtOnce();
    const socket = connect({ host: ADDRESS, port });
    socket.on("error", () => {});
    socket.resume();
    const closed = new Promise((resolve) => socket.once("close", resolve));
    socket.write(bytes);
    await closed;
    await waitFor(() => problems.length > 0);
    t.same(problems, [problem]);
    t.equal(nameOf(await send("next").ended), "next");
  });
}

t.test("should close connections that send half a frame or nothing", async (t) => {
  const { port, problems } = await setUp(t);
  const hello = encodeFrame("hello", { exchangeId: 0, payload: encodeHello() });
  const closed = [
    hello.subarray(0, 0),
    Buffer.concat([hello, hello.subarray(0, 9)]),
  ]
    .map((bytes) => {
      const socket = connect({ host: ADDRESS, port });
      socket.on("error", () => {});
      socket.resume();
      socket.write(bytes);
      return new Promise((resolve) => socket.once("close", resolve));
    });
  await Promise.all(closed);
  await waitFor(() => problems.length === 2);
  t.same(problems.toSorted(), ["incomplete_frame", "no_hello"]);
});

t.test("should refuse a body that would take too much memory, and go on", async (t) => {
  const memory: BodyMemory = {
    receive: (onEnded) => ({
      resize: (sizeBytes) => sizeBytes > 100_000 && onEnded(),
      close: () => {},
    }),
  };
  const { send, answerAtOnce, client } = await setUp(t, { memory });
  answerAtOnce();
  const large = message("large", Buffer.alloc(1_000_000));
  t.equal(nameOf(await send("l", { message: large }).ended), "refused");
  const small = message("small", Buffer.alloc(90_000));
  t.equal(nameOf(await send("s", { message: small }).ended), "small");
  t.equal(client.opened, 1);
});

t.test("should send new requests on another connection after a notice of leaving, and lose none before it", async (t) => {
  const { served, send, server, client } = await setUp(t);
  const before = send("before");
  await waitFor(() => served.length === 1);
  server.announceLeaving();
  await sleep(50);
  const after = send("after");
  await waitFor(() => served.length === 2);
  t.equal(client.opened, 2);
  for (const { request, answer } of served) answer(request);
  t.equal(nameOf(await before.ended), "before");
  t.equal(nameOf(await after.ended), "after");
  t.equal(server.inFlight, 0);
});

/** A daemon that sends these bytes for its first request, and closes the connection after them if asked to. */
async function startScriptedServer(
  t: Test,
  { bytes, closes }: {
    readonly bytes: (codec: MessageCodec) => Buffer;
    readonly closes: boolean;
  },
): Promise<number> {
  const port = nextPort += 1;
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    sockets.push(socket);
    socket.on("error", () => {});
    const codec = new MessageCodec();
    const hello = { exchangeId: 0, payload: encodeHello() };
    socket.write(encodeFrame("hello", hello));
    socket.on("data", (chunk) => {
      if (!chunk.toString("latin1").includes("request")) return;
      socket.write(bytes(codec));
      if (closes) socket.end();
    });
  });
  await new Promise<void>((resolve) => server.listen(port, ADDRESS, resolve));
  t.teardown(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  return port;
}

function answerFrame(
  codec: MessageCodec,
  { exchangeId, name, bodyBytes, firstBytes = Buffer.alloc(0) }: {
    readonly exchangeId: number;
    readonly name: string;
    readonly bodyBytes?: number;
    readonly firstBytes?: Buffer;
  },
): Buffer {
  const head = { numbers: [], texts: [name] };
  const payload = Buffer.from(codec.encode(head, { bodyBytes, firstBytes }));
  return encodeFrame("answer", { exchangeId, payload });
}

// Guards against an answer that reaches the caller of a later request, because it was sent twice or late.
t.test("should ignore a second copy of an answer, and answers to no request", async (t) => {
  let requests = 0;
  const port = await startScriptedServer(t, {
    bytes(codec) {
      requests += 1;
      const own = { exchangeId: requests, name: `answer ${requests}` };
      const frames = [
        { exchangeId: requests - 1, name: "late copy" },
        { exchangeId: 77, name: "to no request" },
        own,
        { ...own, name: "second copy" },
      ];
      return Buffer.concat(frames.map((frame) => answerFrame(codec, frame)));
    },
    closes: false,
  });
  const client = startClient(t);
  for (const number of [1, 2, 3]) {
    const name = `request ${number}`;
    const end = await send(client, { port, name }).ended;
    t.equal(nameOf(end), `answer ${number}`);
  }
  t.equal(client.opened, 1);
});

// Guards against half an answer that reaches the caller as a success.
t.test("should not take an answer for complete whose connection ends within its body", async (t) => {
  const port = await startScriptedServer(t, {
    bytes: (codec) =>
      answerFrame(codec, {
        exchangeId: 1,
        name: "half",
        bodyBytes: 1_000,
        firstBytes: Buffer.alloc(999),
      }),
    closes: true,
  });
  const end = await send(startClient(t), { port, name: "request" }).ended;
  t.match(end, { failure: "cut", mayHaveBeenSent: true });
});

t.test("should close a connection that sends more of a body than it has announced", async (t) => {
  const problems: string[] = [];
  const port = await startScriptedServer(t, {
    bytes: (codec) =>
      Buffer.concat([
        answerFrame(codec, { exchangeId: 1, name: "long", bodyBytes: 10 }),
        encodeFrame("data", { exchangeId: 1, payload: Buffer.alloc(11) }),
      ]),
    closes: false,
  });
  const client = startClient(t, problems);
  const end = await send(client, { port, name: "request" }).ended;
  t.match(end, { failure: "cut", mayHaveBeenSent: true });
  await waitFor(() => problems.length > 0);
  t.same(problems, ["client: malformed"]);
});

// Guards against a stop that lasts until the kill, since another daemon takes no more bytes.
t.test("should close although another daemon reads nothing", async (t) => {
  const { port, served, server } = await setUp(t);
  const socket = connect({ host: ADDRESS, port });
  t.teardown(() => socket.destroy());
  socket.on("error", () => {});
  socket.pause();
  const codec = new MessageCodec();
  const head = { numbers: [], texts: ["large"] };
  const options = { bodyBytes: undefined, firstBytes: Buffer.alloc(0) };
  const payload = Buffer.from(codec.encode(head, options));
  socket.write(Buffer.concat([
    encodeFrame("hello", { exchangeId: 0, payload: encodeHello() }),
    encodeFrame("request", { exchangeId: 1, payload }),
  ]));
  await waitFor(() => served.length === 1);
  served[0]!.answer(message("large", Buffer.alloc(30_000_000)));
  await sleep(50);
  const startedMs = performance.now();
  await server.close();
  t.ok(performance.now() - startedMs < 2_000);
});
