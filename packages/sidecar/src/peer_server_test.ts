import { connect } from "node:net";
import t, { type Test } from "tap";
import { Catalog } from "@tanagercove/catalog";
import { AnswerMemory } from "./answer_memory.ts";
import { ConfigurationResponses } from "./configuration_responses.ts";
import { encodeTicket, type ForwardTicket } from "./forwarding.ts";
import type { OwnedRequest, Owner } from "./owner.ts";
import { startPeerServer } from "./peer_server.ts";

const NAMES = {
  requestId: "x-id",
  timeLeftMs: "x-left",
  signature: "x-signature",
  upstreamId: "x-upstream",
  answeringUpstreamId: "x-answering",
  load: "x-load",
  notRun: "x-not-run",
  callerService: "x-caller",
};

const LOAD = { running: 0, slots: 4, waitingByRank: [0], serviceTimeMs: 50 };

const TICKET: ForwardTicket = {
  upstreamId: "u1",
  service: "shop",
  route: "browse",
  requestClass: "idempotent",
  rank: 1,
  timeLeftMs: 900,
  objectiveLeftMs: 400,
  isNested: false,
  callerService: "web",
  version: 1,
};

/** Starts a peer server whose upstream answers each request with 200. */
async function setUp(t: Test) {
  const runs: OwnedRequest[] = [];
  const failures: unknown[] = [];
  let error: Error | undefined;
  const owner: Owner = {
    run(request) {
      if (error !== undefined) throw error;
      runs.push(request);
      const answer = { status: 200, headers: [], body: Buffer.from("whole") };
      const verdict = { kind: "answered" as const, serviceMs: 1 };
      return { ended: Promise.resolve({ verdict, answer }), cancel() {} };
    },
    runsParentOf: () => false,
    load: () => LOAD,
    running: 0,
    waiting: 0,
    setSlots() {},
    setLeaving() {},
    close() {},
  };
  const listener = await startPeerServer({
    address: "127.0.0.1",
    ports: [0],
    names: NAMES,
    answerMemory: new AnswerMemory({ maxBufferedBytes: 1_000_000 }),
    owner,
    catalog: new Catalog(),
    feedId: "f",
    isInContact: () => true,
    state: () => ({ load: LOAD, version: 1, revision: 1 }),
    accepts: () => true,
    isLeaving: () => false,
    links: { record: () => {}, table: () => ({}) },
    maxBodyBytes: () => 1_000,
    onForwarded: () => {},
    onHandlerFailed: (failure) => failures.push(failure),
  });
  t.teardown(() => listener.close());
  const { port } = listener.server.address() as { port: number };
  const failWith = (next: Error | undefined) => error = next;
  return { port, runs, failures, failWith };
}

/** Sends raw bytes on a new connection; returns the status of the answer, or undefined if there is none. */
function sendRaw(port: number, text: string): Promise<number | undefined> {
  return new Promise((resolve) => {
    const socket = connect(port, "127.0.0.1", () => socket.write(text));
    socket.setTimeout(1_000, () => socket.destroy());
    socket.once("data", (bytes) => {
      resolve(Number(/^HTTP\/1\.1 (\d{3})/.exec(bytes.toString())?.[1]));
      socket.destroy();
    });
    socket.on("error", () => {});
    socket.on("close", () => resolve(undefined));
  });
}

function forwarded(ticket: string, path = "/browse/x"): string {
  return `GET ${path} HTTP/1.1\r\nHost: shop.example\r\nX-Id: r1\r\n` +
    `Tanagercove-Forward: ${ticket}\r\n\r\n`;
}

// Guards against an exception in the listener of requests, which ended the process and all its connections.
t.test("should answer a forwarded request with 400 if its ticket is malformed", async (t) => {
  const { port, runs } = await setUp(t);
  const valid = encodeTicket(TICKET);
  const malformed = {
    "percent-encoding": valid.replace("u1", "%zz"),
    "truncated percent-encoding": valid.replace("web", "%"),
    "bytes that are not UTF-8": valid.replace("shop", "%ff"),
    "field count": "1,2",
    "number": valid.replace("900", "soon"),
  };
  for (const [name, ticket] of Object.entries(malformed)) {
    t.equal(await sendRaw(port, forwarded(ticket)), 400, name);
  }
  t.equal(runs.length, 0);
  t.equal(await sendRaw(port, forwarded(valid)), 200, "still serving");
});

// Guards against an exception after a slot was granted: Node's parser accepts a tab in a path, but Node refuses to
// write it.
t.test("should answer 400 to a forwarded request that cannot be passed on", async (t) => {
  const { port, runs } = await setUp(t);
  const ticket = encodeTicket(TICKET);
  t.equal(await sendRaw(port, forwarded(ticket, "/browse/\tx")), 400);
  t.equal(runs.length, 0);
});

// Guards against an exception in the handler, which left the request without an answer and ended the process.
t.test("should answer 500 to a forwarded request whose handler throws, and report the error", async (t) => {
  const { port, failures, failWith } = await setUp(t);
  const text = forwarded(encodeTicket(TICKET));
  const error = new Error("broken");
  failWith(error);
  t.equal(await sendRaw(port, text), 500);
  t.same(failures, [error]);
  failWith(undefined);
  t.equal(await sendRaw(port, text), 200, "still serving");
});

// Guards against the end of the process when many daemons on narrow links read a version at once: each unsent answer
// was a string of its own in a heap of 48 MB, and the close of all connections lost requests.
t.test("should encode a version once for all daemons that hold the same older one", (t) => {
  const catalog = new Catalog();
  const take = (version: number) =>
    catalog.apply([{
      kind: "configuration",
      revision: version,
      configuration: {
        version,
        limits: {
          maxHeaderBytes: 1,
          maxBodyBytes: 1,
          headerTimeoutMs: 1,
          idleTimeoutMs: 1,
        },
        services: [],
        routes: [],
      },
    }]);
  for (const version of [3, 4, 5, 6, 7]) take(version);
  const responses = new ConfigurationResponses(catalog);
  const whole = responses.bodyFor(0);
  const delta = responses.bodyFor(6);
  t.equal(responses.bodyFor(0), whole, "the same buffer");
  t.equal(responses.bodyFor(1), whole, "also for a version that is not kept");
  t.equal(responses.bodyFor(6), delta);
  t.not(delta, whole);
  t.equal(responses.bodyFor(7), undefined);
  take(8);
  t.not(responses.bodyFor(0), whole, "a later version is encoded anew");
  t.end();
});
