import { connect } from "node:net";
import t from "tap";
import { waitFor } from "@tanagercove/test_helpers";
import {
  ANSWER,
  CALL,
  sendRaw,
  startMesh,
  startScriptedServer,
} from "./mesh_fixture.ts";

const upstream = await startScriptedServer("127.22.3.1", (socket) => {
  setTimeout(() => socket.write(ANSWER), answerDelayMs);
});
let answerDelayMs = 0;
const mesh = await startMesh({
  net: "22.3",
  upstreamPorts: [upstream.port],
  proxy: {
    maxBodyBytes: 1_000,
    requestTimeoutMs: 400,
    healthIntervalMs: 60_000,
  },
});
t.teardown(async () => {
  await mesh.close();
  await upstream.close();
});

const POST = `POST / HTTP/1.1\r\n${CALL}`;

/** Requests that must be refused, each with the status and reason expected for it. */
const BAD: Readonly<Record<string, readonly [string, string]>> = {
  "garbage": ["\x00\x01\r\n\r\n", "400 bad_request"],
  "unknown method": [`BREW / HTTP/1.1\r\n${CALL}\r\n`, "405 method_unknown"],
  "method that is not served": [
    `PROPFIND / HTTP/1.1\r\n${CALL}connection: close\r\n\r\n`,
    "405 method_unknown",
  ],
  "CONNECT": [`CONNECT a:1 HTTP/1.1\r\n${CALL}\r\n`, "405 method_unknown"],
  "no Host": [
    `GET / HTTP/1.1\r\n${
      CALL.replace("host: x\r\n", "")
    }connection: close\r\n\r\n`,
    "400 bad_request",
  ],
  "two Host fields": [
    `GET / HTTP/1.1\r\nhost: y\r\n${CALL}connection: close\r\n\r\n`,
    "400 bad_request",
  ],
  "repeated customer": [
    `GET / HTTP/1.1\r\ntanagercove-customer: lagos\r\n${CALL}connection: close\r\n\r\n`,
    "400 bad_request",
  ],
  "an asterisk as its path": [
    `OPTIONS * HTTP/1.1\r\n${CALL}connection: close\r\n\r\n`,
    "400 bad_request",
  ],
  "large headers": [
    `${POST}x-a: ${"a".repeat(17_000)}\r\n\r\n`,
    "431 headers_too_large",
  ],
  "Content-Length and Transfer-Encoding": [
    `${POST}content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n`,
    "400 bad_request",
  ],
  "two lengths": [
    `${POST}content-length: 3\r\ncontent-length: 4\r\n\r\nabcd`,
    "400 bad_request",
  ],
  "negative length": [`${POST}content-length: -1\r\n\r\n`, "400 bad_request"],
  "broken chunk": [
    `${POST}transfer-encoding: chunked\r\n\r\nzz\r\n`,
    "400 bad_request",
  ],
  "unknown coding": [
    `${POST}transfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n`,
    "400 bad_request",
  ],
  "unknown expectation": [
    `${POST}expect: tea\r\nconnection: close\r\n\r\n`,
    "400 bad_request",
  ],
  "large body by length": [
    `${POST}content-length: 5000\r\n\r\n`,
    "413 body_too_large",
  ],
  "large body in chunks": [
    `${POST}transfer-encoding: chunked\r\n\r\n7d0\r\n${"b".repeat(2_000)}\r\n`,
    "413 body_too_large",
  ],
  "head that never ends": [
    "GET / HTTP/1.1\r\nhost: x\r\n",
    "408 request_timeout",
  ],
  "body that never ends": [
    `${POST}content-length: 10\r\n\r\nabc`,
    "408 request_timeout",
  ],
};

// These requests must not be forwarded or left without a response, and each response must give the reason.
for (const [name, [bytes, expected]] of Object.entries(BAD)) {
  t.test(`should refuse a request with ${name} by a 4xx and not forward it`, async (t) => {
    const before = upstream.requestIds.length;
    const response = await sendRaw(mesh, bytes);
    t.equal(`${response.status} ${response.reason}`, expected);
    t.equal(response.outcome, "not_run");
    t.equal(JSON.parse(response.body).outcome, "not_run");
    t.equal(upstream.requestIds.length, before);
  });
}

t.test("should never forward a request whose sender disconnects before it is complete", async (t) => {
  const before = upstream.requestIds.length;
  const counts = () => mesh.caller.state().callers;
  const { cancelled, reasons } = counts();
  const incomplete = `${POST}content-length: 10\r\n\r\nabc`;
  const reset = connect(mesh.port, mesh.host);
  // Both requests go out in one write, so the first response shows that the incomplete one has arrived.
  reset.write(`${POST}\r\n${incomplete}`);
  reset.once("data", () => reset.resetAndDestroy());
  const ended = connect(mesh.port, mesh.host);
  ended.end(incomplete);
  await waitFor(() => counts().cancelled.unsent === cancelled.unsent + 1);
  await waitFor(() => counts().reasons.bad_request! > reasons.bad_request!);
  t.equal(upstream.requestIds.length, before + 1);
});

// A parse error must not replace the response of an earlier pipelined request, which may have run.
t.test("should give the earlier request its own response when malformed bytes follow it", async (t) => {
  answerDelayMs = 60;
  const { text } = await sendRaw(mesh, `${POST}\r\n\x00garbage\r\n\r\n`);
  t.match(text, /^HTTP\/1.1 200 OK/);
  t.match(text, /okHTTP\/1.1 400 Bad Request/);
  answerDelayMs = 0;
});

t.test("should forward bodies of both framings completely, with headers near the limit", async (t) => {
  const large = `x-large: ${"a".repeat(16_180)}\r\n`;
  for (
    const body of [
      "content-length: 3\r\n\r\nabc",
      "transfer-encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
    ]
  ) {
    const { status } = await sendRaw(
      mesh,
      `${POST}${large}connection: close\r\n${body}`,
    );
    t.equal(status, 200);
    t.match(upstream.heads.at(-1), /content-length: 3\r\n\r\nabc$/);
  }
});
