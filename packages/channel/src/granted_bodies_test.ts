import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import t, { type Test } from "tap";
import { waitFor } from "@tanagercove/test_helpers";
import { BodyGrants } from "./body_grants.ts";
import { ChannelClient } from "./channel_client.ts";
import type { BodyMemory, ChannelMessage } from "./channel_message.ts";
import { type ChannelRun, startChannelServer } from "./channel_server.ts";
import { encodeFrame, FrameReader } from "./frames.ts";
import { encodeHello, MessageCodec } from "./message_codec.ts";

const ADDRESS = "127.33.7.2";
const SIZE_BYTES = 200_000;
const BODY = Buffer.alloc(SIZE_BYTES, "b");

let nextPort = 18_900;

interface SetUpOptions {
  readonly handle: (request: ChannelMessage) => ChannelRun;
  readonly hasGrants?: boolean;
  readonly memory?: BodyMemory;
  readonly clientMemory?: BodyMemory;
}

async function setUp(
  t: Test,
  { handle, hasGrants = true, memory, clientMemory }: SetUpOptions,
) {
  const port = nextPort += 1;
  const problems: string[] = [];
  let usedBytes = 0;
  const counted: BodyMemory = {
    receive() {
      let heldBytes = 0;
      const resize = (sizeBytes: number) => {
        usedBytes += sizeBytes - heldBytes;
        heldBytes = sizeBytes;
      };
      return { resize, close: () => resize(0) };
    },
  };
  const grants = new BodyGrants({ linkMbps: 7 });
  const server = await startChannelServer({
    address: ADDRESS,
    port,
    maxBodyBytes: 50_000_000,
    memory: memory ?? counted,
    ...(hasGrants && { grants }),
    handle,
    answerRefusedBody: () => message("refused"),
    answerLargeHead: () => message("large head"),
    holdAnswer: () => () => {},
    onProblem: ({ problem }) => problems.push(problem),
  });
  t.teardown(() => server.close());
  const client = new ChannelClient({
    localAddress: ADDRESS,
    maxBodyBytes: 50_000_000,
    memory: clientMemory ?? counted,
    onProblem: ({ problem }) => problems.push(`client: ${problem}`),
  });
  t.teardown(() => client.close());
  const send = (name: string, { body, timeoutMs = 5_000 }: {
    readonly body?: Buffer;
    readonly timeoutMs?: number;
  } = {}) =>
    client.send({
      destination: { address: ADDRESS, port },
      message: message(name, body),
      timeoutMs,
      isIdempotent: false,
      onSilent: () => {},
    });
  return { port, server, grants, problems, send, usedBytes: () => usedBytes };
}

const message = (name: string, body?: Buffer): ChannelMessage => ({
  head: { numbers: [1], texts: [name] },
  body,
});

const RECEIVE = { rank: 1, beginWithinMs: 5_000, timeoutMs: 5_000 };

/** Receives the body of each request and answers with it. */
function answerWithBody({ head, body, incoming }: ChannelMessage): ChannelRun {
  const ended = incoming === undefined
    ? Promise.resolve({ head, body })
    : incoming.receive(RECEIVE).then((received) => ({ head, body: received }));
  return { ended, cancel: () => {} };
}

t.test("should receive a large body once it is asked for, also from several requests at once", async (t) => {
  const { send, problems, usedBytes, grants } = await setUp(t, {
    handle: answerWithBody,
  });
  const sizes = [0, 1, 32_768, 32_769, SIZE_BYTES, SIZE_BYTES + 7];
  const exchanges = sizes.map((sizeBytes, i) => {
    const body = Buffer.alloc(sizeBytes, i + 1);
    return { body, ended: send(`r${i}`, { body }).ended };
  });
  for (const { body, ended } of exchanges) {
    const end = await ended;
    t.ok(end.kind === "answered" && end.message.body!.equals(body));
  }
  t.same(problems, []);
  t.equal(grants.underWayBytes, 0);
  await waitFor(() => usedBytes() === 0);
});

// Load: uploads to a full upstream; each refusal cost the whole body on the link of its VM.
t.test("should send nothing of the body of a request that is refused", async (t) => {
  const requests: ChannelMessage[] = [];
  const { send, usedBytes } = await setUp(t, {
    handle(request) {
      requests.push(request);
      return { ended: Promise.resolve(message("busy")), cancel: () => {} };
    },
  });
  const end = await send("upload", { body: BODY }).ended;
  t.equal(end.kind === "answered" && end.message.head.texts[0], "busy");
  t.equal(requests[0]!.incoming!.sizeBytes, SIZE_BYTES);
  t.equal(requests[0]!.body, undefined);
  t.equal(usedBytes(), 0);
});

t.test("should send the body with the request to a daemon that grants nothing", async (t) => {
  const { send } = await setUp(t, { handle: answerWithBody, hasGrants: false });
  const end = await send("upload", { body: BODY }).ended;
  t.ok(end.kind === "answered" && end.message.body!.equals(BODY));
});

// Guards against a "may have run" for an upload that cannot have run, which its caller may not send again.
t.test("should say that a request is not run if the other daemon dies between grant and body", async (t) => {
  let wasAsked = false;
  const { send, server, grants } = await setUp(t, {
    handle({ incoming }) {
      wasAsked = true;
      void incoming!.receive(RECEIVE);
      return { ended: new Promise(() => {}), cancel: () => {} };
    },
  });
  const upload = send("upload", { body: Buffer.alloc(20_000_000) });
  await waitFor(() => wasAsked && grants.granted === 1);
  await server.close();
  t.match(await upload.ended, { failure: "cut", mayHaveBeenSent: false });
  await waitFor(() => grants.granted === 0);
});

t.test("should say that a request is not run whose body was never asked for", async (t) => {
  const { send } = await setUp(t, {
    handle: () => ({ ended: new Promise(() => {}), cancel: () => {} }),
  });
  const late = send("late", { body: BODY, timeoutMs: 100 });
  t.match(await late.ended, { failure: "deadline", mayHaveBeenSent: false });
});

// Guards against credits and memory that a sender takes along when it dies, and against half a body that is delivered.
t.test("should end a body whose sender dies halfway, and go on with others", async (t) => {
  const received: (Buffer | undefined)[] = [];
  let cancelled = 0;
  const { port, send, grants, usedBytes } = await setUp(t, {
    handle({ incoming, ...request }) {
      const ended = incoming!.receive(RECEIVE).then((body) => {
        received.push(body);
        return request;
      });
      return { ended, cancel: () => cancelled += 1 };
    },
  });
  const socket = connect({ host: ADDRESS, port });
  t.teardown(() => socket.destroy());
  const reader = new FrameReader();
  let grantedBytes = 0;
  socket.on("data", (chunk) => {
    const frames = reader.push(chunk);
    for (const { kind, payload } of frames.isOk ? frames.value : []) {
      if (kind === "grant") grantedBytes = payload.readUInt32BE(0);
    }
  });
  const payload = Buffer.from(
    new MessageCodec().encode({ numbers: [], texts: ["dies"] }, {
      bodyBytes: SIZE_BYTES,
      firstBytes: Buffer.alloc(0),
    }),
  );
  socket.write(Buffer.concat([
    encodeFrame("hello", { exchangeId: 0, payload: encodeHello() }),
    encodeFrame("request", { exchangeId: 1, payload }),
  ]));
  await waitFor(() => grantedBytes > 0);
  const half = BODY.subarray(0, grantedBytes / 2);
  socket.write(encodeFrame("data", { exchangeId: 1, payload: half }));
  await waitFor(() => grants.underWayBytes < grantedBytes);
  socket.resetAndDestroy();
  await waitFor(() => received.length === 1);
  t.same(received, [undefined]);
  t.equal(cancelled, 1);
  t.equal(grants.granted, 0);
  t.equal(usedBytes(), 0);
  const end = await send("next", { body: BODY }).ended;
  t.equal(end.kind, "answered");
  t.ok(received[1]!.equals(BODY));
});

t.test("should take a cancellation while a body arrives", async (t) => {
  let wasAsked = false;
  let received: Buffer | undefined | "pending" = "pending";
  const { send, grants, usedBytes } = await setUp(t, {
    handle({ incoming, ...request }) {
      wasAsked = true;
      const ended = incoming!.receive(RECEIVE).then((body) => {
        received = body;
        return request;
      });
      return { ended, cancel: () => {} };
    },
  });
  const upload = send("upload", { body: Buffer.alloc(20_000_000) });
  await waitFor(() => wasAsked);
  upload.cancel();
  t.match(await upload.ended, { failure: "cancelled" });
  await waitFor(() => received !== "pending");
  t.equal(received, undefined);
  t.equal(grants.granted, 0);
  t.equal(usedBytes(), 0);
});

t.test("should give up a body whose turn does not come in time, or that has no memory", async (t) => {
  const received: (Buffer | undefined)[] = [];
  const receiveWithin = (beginWithinMs: number) =>
  (
    { incoming, ...request }: ChannelMessage,
  ): ChannelRun => ({
    ended: incoming!.receive({ ...RECEIVE, beginWithinMs }).then((body) => {
      received.push(body);
      return request;
    }),
    cancel: () => {},
  });
  const busy = await setUp(t, { handle: receiveWithin(50) });
  const front = busy.grants.add({
    rank: 0,
    sizeBytes: 1e9,
    grant: () => {},
  });
  const timer = setInterval(() => front.received(1), 20);
  t.teardown(() => {
    clearInterval(timer);
    front.close();
  });
  await busy.send("late", { body: BODY }).ended;
  const full = await setUp(t, {
    handle: receiveWithin(5_000),
    memory: {
      receive: (onEnded) => ({ resize: () => onEnded(), close: () => {} }),
    },
  });
  await full.send("no memory", { body: BODY }).ended;
  t.same(received, [undefined, undefined]);
});

// Guards against memory that a body holds until its connection ends, after which the daemon refuses all others.
t.test("should give the memory of a body back that is cancelled, or sent no further, before it is whole", async (t) => {
  const { port, usedBytes } = await setUp(t, {
    handle: answerWithBody,
    hasGrants: false,
  });
  const socket = connect({ host: ADDRESS, port });
  t.teardown(() => socket.destroy());
  socket.resume();
  const payload = Buffer.from(
    new MessageCodec().encode({ numbers: [], texts: ["a"] }, {
      bodyBytes: SIZE_BYTES,
      firstBytes: BODY.subarray(0, 16_384),
    }),
  );
  const begin = (exchangeId: number) =>
    socket.write(encodeFrame("request", { exchangeId, payload }));
  const none = Buffer.alloc(0);
  socket.write(encodeFrame("hello", { exchangeId: 0, payload: encodeHello() }));
  begin(1);
  await waitFor(() => usedBytes() === SIZE_BYTES);
  socket.write(encodeFrame("cancel", { exchangeId: 1, payload: none }));
  await waitFor(() => usedBytes() === 0);
  begin(2);
  await waitFor(() => usedBytes() === SIZE_BYTES);
  await waitFor(() => usedBytes() === 0, { timeoutMs: 15_000 });
});

// Guards against short answers that are lost after their requests have run, since slow readers hold the memory.
t.test("should not count a short answer", async (t) => {
  const { send } = await setUp(t, {
    handle: answerWithBody,
    clientMemory: {
      receive: (onEnded) => ({ resize: () => onEnded(), close: () => {} }),
    },
  });
  const short = await send("short", { body: Buffer.alloc(16_384) }).ended;
  t.equal(short.kind, "answered");
  const long = await send("long", { body: Buffer.alloc(16_385) }).ended;
  t.match(long, { kind: "failed", failure: "too_large" });
});

// Guards against a sender that does not keep to its grants.
t.test("should close a connection that sends more than was granted", async (t) => {
  const { port, problems } = await setUp(t, { handle: answerWithBody });
  const socket = connect({ host: ADDRESS, port });
  t.teardown(() => socket.destroy());
  socket.on("error", () => {});
  socket.resume();
  const payload = Buffer.from(
    new MessageCodec().encode({ numbers: [], texts: ["a"] }, {
      bodyBytes: SIZE_BYTES,
      firstBytes: Buffer.alloc(0),
    }),
  );
  socket.write(Buffer.concat([
    encodeFrame("hello", { exchangeId: 0, payload: encodeHello() }),
    encodeFrame("request", { exchangeId: 1, payload }),
  ]));
  await sleep(50);
  const rest = BODY.subarray(0, 100_000);
  socket.write(encodeFrame("data", { exchangeId: 1, payload: rest }));
  await waitFor(() => problems.length > 0);
  t.same(problems, ["malformed"]);
});
