import fc from "fast-check";
import t, { type Test } from "tap";
import { Catalog } from "@tanagercove/catalog";
import { ChannelClient, startChannelServer } from "@tanagercove/channel";
import { AnswerMemory } from "@tanagercove/memory";
import {
  type AnswerParts,
  decodeAnswer,
  decodeRequest,
  encodeAnswer,
  encodeRequest,
} from "./channel_messages.ts";
import {
  createChannelForwarder,
  createChannelHandler,
} from "./channel_peers.ts";
import type { OwnerState } from "./forwarding.ts";
import type { OwnedRequest, OwnedResult } from "./owner.ts";
import type { ForwardOptions, ForwardResult } from "./peer_client.ts";
import { createMemory } from "./memory_fixture.ts";
import { TICKET } from "./peer_server_fixture.ts";

const ADDRESS = "127.33.8.1";
const PORT = 18_801;

const REQUEST: OwnedRequest = {
  ticket: { ...TICKET, mayWait: false },
  requestId: "r1",
  method: "POST",
  path: "/browse/x?y=1",
  headers: ["Host", "shop.example", "X-Empty", ""],
  body: Buffer.from("body"),
};

const STATE: OwnerState = {
  load: {
    running: 2,
    slots: 4,
    waitingByRank: [0, 1, 2],
    serviceTimeMs: 50,
    limitPerSecond: 28.5,
    startDelayMs: 12,
  },
  isUpstreamLeaving: true,
  version: 7,
  revision: 123,
};

const ANSWERED: OwnedResult = {
  verdict: { kind: "answered", serviceMs: 40 },
  answer: { status: 200, headers: ["X-A", "1"], body: Buffer.from("whole") },
};

t.test("should decode requests and answers as they were encoded", (t) => {
  t.same(decodeRequest(encodeRequest(REQUEST)), REQUEST);
  const answers: readonly AnswerParts[] = [
    { ...ANSWERED, state: STATE },
    {
      verdict: {
        kind: "not_run",
        reason: "busy",
        reachedUpstream: true,
        retryAfterMs: 300,
      },
      state: {
        ...STATE,
        load: { ...STATE.load, limitPerSecond: undefined },
        isUpstreamLeaving: false,
      },
      answer: undefined,
    },
    {
      verdict: { kind: "unknown", reason: "deadline" },
      state: STATE,
      answer: undefined,
    },
  ];
  for (const answer of answers) {
    t.same(decodeAnswer(encodeAnswer(answer)), answer);
  }
  t.end();
});

// Guards against an answer whose status is none in HTTP, which the caller would get as the answer of its request.
t.test("should refuse an answer whose status is not final", (t) => {
  const { head, body } = encodeAnswer({
    verdict: { kind: "answered", serviceMs: 5 },
    state: STATE,
    answer: { status: 200, headers: [], body: Buffer.from("ok") },
  });
  const decodedStatus = (status: number) => {
    const numbers = head.numbers.with(0, status);
    return decodeAnswer({ head: { ...head, numbers }, body })?.answer?.status;
  };
  for (const status of [0, 99, 100, 199, 600, 999, 200.5]) {
    t.equal(decodedStatus(status), undefined, String(status));
  }
  t.equal(decodedStatus(200), 200);
  t.equal(decodedStatus(599), 599);
  t.end();
});

// Guards against a message of another program, or of a faulty daemon, that ends the process or reaches an upstream.
t.test("should refuse messages that are no request or no answer, and never throw", (t) => {
  const head = fc.record({
    numbers: fc.array(fc.integer(), { maxLength: 14 }),
    texts: fc.array(fc.string({ maxLength: 5 }), { maxLength: 12 }),
  });
  fc.assert(
    fc.property(head, (head) => {
      decodeRequest({ head, body: undefined });
      decodeAnswer({ head, body: undefined });
      return true;
    }),
    { seed: 20261205, numRuns: 5_000 },
  );
  const { head: { numbers, texts } } = encodeRequest(REQUEST);
  const malformed = {
    "a number less": { numbers: numbers.slice(1), texts },
    "a field without a value": { numbers, texts: texts.slice(0, -1) },
    "no id": { numbers, texts: texts.with(4, "") },
    "an unknown method": { numbers, texts: texts.with(5, "GET / HTTP/1.1") },
    "a space in the path": { numbers, texts: texts.with(6, "/a b") },
    "a line break in a field": { numbers, texts: texts.with(8, "a\r\nb: c") },
  };
  for (const [name, head] of Object.entries(malformed)) {
    t.equal(decodeRequest({ head, body: undefined }), undefined, name);
  }
  t.end();
});

function createHandler(run: () => OwnedResult) {
  const failures: unknown[] = [];
  const handler = createChannelHandler({
    owner: {
      run: () => ({ ended: Promise.resolve().then(run), cancel: () => {} }),
      load: () => STATE.load,
    },
    memory: createMemory(),
    catalog: new Catalog(),
    accepts: () => true,
    onForwarded: () => {},
    state: () => STATE,
    onHandlerFailed: (error) => failures.push(error),
  });
  return { handler, failures };
}

// Guards against one failing request that ends the process, and the requests of all other callers with it.
t.test("should end a request whose handling fails without an answer, and log the error", async (t) => {
  const error = new Error("expected by the test");
  const { handler, failures } = createHandler(() => {
    throw error;
  });
  const run = handler.handle(encodeRequest(REQUEST), { address: "127.0.0.1" });
  t.equal(await run.ended, undefined);
  t.same(failures, [error]);
});

async function setUp(
  t: Test,
  { hasChannel }: { readonly hasChannel: boolean },
) {
  const answerMemory = new AnswerMemory({ maxBufferedBytes: 1_000_000 });
  const { handler } = createHandler(() => ANSWERED);
  if (hasChannel) {
    const server = await startChannelServer({
      address: ADDRESS,
      port: PORT,
      maxBodyBytes: 1_000_000,
      memory: answerMemory,
      holdAnswer: (sizeBytes) => answerMemory.hold(sizeBytes),
      onProblem: ({ problem }) => t.fail(problem),
      ...handler,
    });
    t.teardown(() => server.close());
  }
  const client = new ChannelClient({
    localAddress: ADDRESS,
    maxBodyBytes: 1_000_000,
    memory: answerMemory,
    onProblem: ({ problem }) => t.fail(problem),
  });
  t.teardown(() => client.close());
  const overHttp: ForwardOptions[] = [];
  const result: ForwardResult = { ...ANSWERED, state: STATE };
  const forward = createChannelForwarder({
    client,
    port: PORT,
    http: {
      forward(options) {
        overHttp.push(options);
        return { ended: Promise.resolve(result), cancel: () => {} };
      },
    },
    onUnreadable: ({ problem }) => t.fail(problem),
  });
  const send = () =>
    forward({
      destination: { address: ADDRESS, port: 1 },
      request: REQUEST,
      onSilent: () => {},
    }).ended;
  return { send, overHttp, client };
}

t.test("should forward over the channel", async (t) => {
  const { send, overHttp } = await setUp(t, { hasChannel: true });
  t.same(await send(), { ...ANSWERED, state: STATE });
  t.same(overHttp, []);
});

// Guards against requests that fail while daemons of an earlier version and of this one run side by side.
t.test("should forward over HTTP to a daemon without a channel", async (t) => {
  const { send, overHttp, client } = await setUp(t, { hasChannel: false });
  t.same(await send(), { ...ANSWERED, state: STATE });
  t.equal(overHttp.length, 1);
  const { timeLeftMs } = overHttp[0]!.request.ticket;
  t.ok(timeLeftMs <= REQUEST.ticket.timeLeftMs, "the time of the try counts");
  t.same(await send(), { ...ANSWERED, state: STATE });
  t.equal(overHttp.length, 2);
  t.equal(client.opened, 1, "the channel is not tried again at once");
});
