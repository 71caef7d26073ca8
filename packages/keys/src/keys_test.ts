import { once } from "node:events";
import { writeFileSync } from "node:fs";
import { createServer } from "node:http";
import { type AddressInfo, connect, createServer as listenTcp } from "node:net";
import {
  connect as connectTls,
  createServer as createTlsServer,
  type TLSSocket,
} from "node:tls";
import t, { type Test } from "tap";
import { Client } from "undici";
import {
  createCertificateAuthority,
  type IssueOptions,
} from "@tanagercove/emulator";
import {
  openKeyFiles,
  openTestTransport,
  waitFor,
} from "@tanagercove/test_helpers";
import { type PeerTransport, readPeerKeys } from "./index.ts";

const ADDRESS = "127.23.1.1";
const OTHER_ADDRESS = "127.23.1.2";
const GOOD: IssueOptions = { vmId: "a-1", addresses: [ADDRESS] };

const authority = await createCertificateAuthority();
const otherAuthority = await createCertificateAuthority();

function openTransport(
  t: Test,
  mode: "optional" | "required" = "required",
) {
  return openTestTransport(t, { ...GOOD, authority, mode });
}

/** Serves on a peer port; counts requests that were admitted. */
async function serve(t: Test, transport: PeerTransport | undefined) {
  const seen = { admitted: 0, sentBytes: 0, receivedBytes: 0 };
  const server = createServer((request, response) => {
    if (transport?.isAuthorized(request.socket) === false) {
      response.writeHead(403).end();
      return;
    }
    seen.admitted += 1;
    const carrier = transport?.tcpSocketOf(request.socket) ?? request.socket;
    carrier.once("close", () => {
      seen.sentBytes = carrier.bytesWritten;
      seen.receivedBytes = carrier.bytesRead;
    });
    response.end("served");
  });
  const dropHandshakes = transport?.secureServer(server);
  server.listen(0, ADDRESS);
  await once(server, "listening");
  const close = () =>
    new Promise<void>((resolve) => {
      server.close(() => resolve());
      server.closeAllConnections();
      dropHandshakes?.();
    });
  t.teardown(close);
  return { port: (server.address() as AddressInfo).port, seen, close };
}

/** Sends one request on a connection of its own; gives the status or the error's message. */
async function ask(
  transport: PeerTransport,
  { port, timeoutMs = 5_000 }: { port: number; timeoutMs?: number },
) {
  let carrier;
  let proved = false;
  const connector = transport.connector({ timeoutMs });
  const client = new Client(`http://${ADDRESS}:${port}`, {
    connect: (target, callback) =>
      connector(target, (...[error, socket]) => {
        if (error !== null) return callback(error, null);
        carrier = transport.tcpSocketOf(socket);
        proved = transport.isAuthorizedAs(socket, "a-1");
        callback(null, socket);
      }),
  });
  const outcome = await client.request({ method: "GET", path: "/" }).then(
    async ({ statusCode, body }) => {
      await body.dump();
      return statusCode;
    },
    (error: Error) => error.message,
  );
  await client.destroy();
  return { outcome, proved, carrier: carrier as TLSSocket | undefined };
}

t.test("should report everything that is wrong with the key files at once", async (t) => {
  const { files, trust, issue } = openKeyFiles(t, { ...GOOD, authority });
  const check = () => {
    const read = readPeerKeys({ files, vmId: "a-1", address: ADDRESS });
    return read.isOk
      ? []
      : read.error.map(({ file, message }) => `${file} ${message}`);
  };
  t.match(check(), [
    /^caFile Expected a readable file \(ENOENT\)/,
    /^certificateFile .*ENOENT/,
    /^keyFile .*ENOENT/,
  ]);
  trust(authority);
  await issue();
  t.same(check(), []);
  await issue({ ...GOOD, usages: ["1.3.6.1.5.5.7.3.1"] });
  t.match(check(), [/^certificateFile Expected the extended key usages/]);
  await issue({ vmId: "b-1", addresses: [OTHER_ADDRESS], validForMs: -1_000 });
  writeFileSync(files.keyFile, (await authority.issue(GOOD)).key);
  trust(otherAuthority);
  t.match(check(), [
    /^certificateFile .*it expired on/,
    new RegExp(`^certificateFile Expected the IP address ${ADDRESS}`),
    /^certificateFile Expected the URI urn:tanagercove:vm:a-1/,
    /^keyFile Expected the private key of the certificate/,
    /^certificateFile Expected a certificate signed by a CA/,
  ]);
  writeFileSync(files.caFile, (await authority.issue(GOOD)).certificate);
  writeFileSync(files.keyFile, "no key");
  t.match(check(), [
    /^keyFile Expected a private key/,
    /^caFile Expected CA certificates only/,
  ]);
});

t.test("should serve both directions and count the handshake's bytes", async (t) => {
  const { transport } = await openTransport(t);
  const { port, seen, close } = await serve(t, transport);
  const first = await ask(transport, { port });
  t.equal(first.outcome, 200);
  await waitFor(() => seen.receivedBytes > 0);
  const unreadBytes = seen.sentBytes - first.carrier!.bytesRead;
  t.ok(unreadBytes >= 0 && unreadBytes < 64, "but for the closing alert");
  t.equal(seen.receivedBytes, first.carrier!.bytesWritten);
  t.ok(seen.receivedBytes > 1_000, "certificates are counted");
  t.match(await ask(transport, { port }), { outcome: 200, proved: true });
  t.match(transport.state(), { handshakes: 4, resumed: 1, refused: 0 });
  const silent = connect(port, ADDRESS);
  await once(silent, "connect");
  silent.on("error", () => {});
  await Promise.all([once(silent, "close"), close()]);
});

// Guards against a request that counts as sent although the other end refused the handshake.
t.test("should refuse certificates that are wrong before a request is sent", async (t) => {
  const bad = {
    "of another CA": await otherAuthority.issue(GOOD),
    "that expired": await authority.issue({ ...GOOD, validForMs: -1_000 }),
    "of another address": await authority.issue({
      ...GOOD,
      addresses: [OTHER_ADDRESS],
    }),
  };
  for (const [name, { certificate: cert, key }] of Object.entries(bad)) {
    const { transport, events } = await openTransport(t);
    let received = 0;
    const hostile = createTlsServer(
      { cert, key },
      (socket) => socket.on("error", () => {}).on("data", () => received += 1),
    );
    hostile.listen(0, ADDRESS);
    await once(hostile, "listening");
    const { port } = hostile.address() as AddressInfo;
    t.type((await ask(transport, { port })).outcome, "string", name);
    t.equal(received, 0, name);
    t.equal(transport.state()!.refused, 1, name);
    t.match(events, [{ event: "peer_refused", direction: "outgoing" }]);
    hostile.close();
  }
  const refusedWhenCalling = {
    ...bad,
    "without a VM": await authority.issue({ ...GOOD, vmId: undefined }),
    "none": {},
  };
  // The address of a caller is not checked, see docs/security.md.
  delete (refusedWhenCalling as Record<string, unknown>)["of another address"];
  for (const [name, keys] of Object.entries(refusedWhenCalling)) {
    const { transport } = await openTransport(t);
    const { port, seen } = await serve(t, transport);
    const { certificate: cert, key } = keys as Record<string, string>;
    const socket = connectTls({
      host: ADDRESS,
      port,
      ca: authority.certificate,
      cert,
      key,
    });
    let answer = "";
    socket.on("error", () => {}).on("data", (data) => answer += data);
    socket.write("GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
    await new Promise((resolve) => socket.once("close", resolve));
    t.notMatch(answer, /200 OK/, name);
    t.equal(seen.admitted, 0, name);
    t.equal(transport.state()!.refused, 1, name);
  }
});

// Guards against an outcome of "unknown" where the server refuses the caller's certificate, which
// a caller with TLS 1.3 learns only after its own part of the handshake.
t.test("should not send a request that the server's check of the caller forbids", async (t) => {
  const server = await openTransport(t);
  const { port, seen } = await serve(t, server.transport);
  const caller = await openTransport(t);
  caller.trust(authority, otherAuthority);
  await caller.issue(GOOD, otherAuthority);
  await waitFor(() =>
    caller.events.some(({ event }) => event === "peer_keys_taken")
  );
  const { outcome, carrier } = await ask(caller.transport, { port });
  t.type(outcome, "string");
  t.equal(carrier, undefined, "no connection was given to undici");
  t.equal(seen.admitted, 0);
});

// Guards against a caller that gets in by an old session after its CA was removed.
t.test("should not resume sessions from before a change of the server's keys", async (t) => {
  const server = await openTransport(t);
  const { port } = await serve(t, server.transport);
  const caller = await openTransport(t);
  for (const expected of [200, 200]) {
    t.equal((await ask(caller.transport, { port })).outcome, expected);
  }
  t.equal(caller.transport.state()!.resumed, 1);
  server.trust(authority, otherAuthority);
  await waitFor(() => server.events.length === 1);
  t.equal((await ask(caller.transport, { port })).outcome, 200);
  t.equal(caller.transport.state()!.resumed, 1);
  t.equal((await ask(caller.transport, { port })).outcome, 200);
  t.equal(caller.transport.state()!.resumed, 2, "with a new session");
  await server.issue(GOOD, otherAuthority);
  server.trust(otherAuthority);
  await waitFor(() =>
    server.events.filter(({ event }) => event === "peer_keys_taken")
      .length === 2
  );
  t.type((await ask(caller.transport, { port })).outcome, "string");
});

t.test("should refuse the requests of plain callers when TLS is required", async (t) => {
  const { transport, events } = await openTransport(t);
  const { port, seen } = await serve(t, transport);
  const socket = connect(port, ADDRESS);
  let answer = "";
  socket.on("data", (data) => answer += data);
  socket.write("GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
  await once(socket, "close");
  t.match(answer, /^HTTP\/1\.1 403/);
  t.equal(seen.admitted, 0);
  t.match(events, [{ reason: "Connection without TLS" }]);
});

t.test("should go on with plain peers while TLS is optional", async (t) => {
  const { transport, events } = await openTransport(t, "optional");
  const plain = await serve(t, undefined);
  t.equal((await ask(transport, plain)).outcome, 200);
  t.equal((await ask(transport, plain)).outcome, 200);
  t.equal(transport.state()!.handshakes, 0);
  const both = await serve(t, transport);
  const socket = connect(both.port, ADDRESS);
  socket.write("GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
  await once(socket.resume(), "close");
  t.equal((await ask(transport, both)).outcome, 200);
  t.equal(both.seen.admitted, 2);
  t.match(transport.state(), { handshakes: 2, refused: 0 });
  t.same(events, []);
});

t.test("should give a silent handshake up at its deadline", async (t) => {
  const { transport } = await openTransport(t, "optional");
  const silent = listenTcp((socket) => socket.on("error", () => {}));
  silent.listen(0, ADDRESS);
  await once(silent, "listening");
  const { port } = silent.address() as AddressInfo;
  const startedAtMs = performance.now();
  const { outcome } = await ask(transport, { port, timeoutMs: 300 });
  t.equal(outcome, "Handshake timed out");
  t.ok(performance.now() - startedAtMs < 2_000);
  silent.close();
});

// Guards against a moment in which ends with old and new keys refuse each other.
t.test("should take up a new CA and key in steps, and pass wrong files over", async (t) => {
  const ends = [await openTransport(t), await openTransport(t)];
  const servers = await Promise.all(
    ends.map(({ transport }) => serve(t, transport)),
  );
  const talk = async () => {
    for (const [from, to] of [[0, 1], [1, 0]] as const) {
      const { port } = servers[to]!;
      t.equal((await ask(ends[from]!.transport, { port })).outcome, 200);
    }
  };
  const taken = (end: typeof ends[number], times: number) =>
    waitFor(() =>
      end.events.filter(({ event }) => event === "peer_keys_taken").length >=
        times
    );
  const steps: ((end: typeof ends[number]) => void | Promise<void>)[] = [
    ({ trust }) => trust(authority, otherAuthority),
    ({ issue }) => issue(GOOD, otherAuthority),
    ({ trust }) => trust(otherAuthority),
  ];
  for (const [index, step] of steps.entries()) {
    for (const end of ends) {
      await step(end);
      await taken(end, index + 1);
      await talk();
    }
  }
  const [end] = ends;
  writeFileSync(end!.files.keyFile, "half a fi");
  await waitFor(() =>
    end!.events.some(({ event }) => event === "peer_keys_refused")
  );
  await talk();
  t.equal(end!.transport.state()!.refused, 0);
});
