import { connect } from "node:net";
import t from "tap";
import { Catalog } from "@tanagercove/catalog";
import { ConfigurationResponses } from "./configuration_responses.ts";
import { encodeTicket } from "./forwarding.ts";
import {
  forwardedRequest,
  setUpPeerServer,
  TICKET,
} from "./peer_server_fixture.ts";

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

// Guards against an exception in the listener of requests, which ended the process and all its connections.
t.test("should answer a forwarded request with 400 if its ticket is malformed", async (t) => {
  const { port, runs } = await setUpPeerServer(t);
  const valid = encodeTicket(TICKET);
  const malformed = {
    "percent-encoding": valid.replace("u1", "%zz"),
    "truncated percent-encoding": valid.replace("web", "%"),
    "bytes that are not UTF-8": valid.replace("shop", "%ff"),
    "field count": "1,2",
    "number": valid.replace("900", "soon"),
  };
  for (const [name, ticket] of Object.entries(malformed)) {
    t.equal(await sendRaw(port, forwardedRequest(ticket)), 400, name);
  }
  t.equal(runs.length, 0);
  t.equal(await sendRaw(port, forwardedRequest(valid)), 200, "still serving");
});

// Guards against an exception after a slot was granted: Node's parser accepts a tab in a path, but Node refuses to
// write it.
t.test("should answer 400 to a forwarded request that cannot be passed on", async (t) => {
  const { port, runs } = await setUpPeerServer(t);
  const ticket = encodeTicket(TICKET);
  t.equal(await sendRaw(port, forwardedRequest(ticket, "/browse/\tx")), 400);
  t.equal(runs.length, 0);
});

// Guards against an exception in the handler, which left the request without an answer and ended the process.
t.test("should answer 500 to a forwarded request whose handler throws, and report the error", async (t) => {
  const { port, failures, failWith } = await setUpPeerServer(t);
  const text = forwardedRequest(encodeTicket(TICKET));
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
