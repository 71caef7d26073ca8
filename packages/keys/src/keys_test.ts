import { once } from "node:events";
import { writeFileSync } from "node:fs";
import { createServer } from "node:http";
import {
  type AddressInfo,
  connect,
  createServer as listenTcp,
  type Socket,
} from "node:net";
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
const VALID_KEYS: IssueOptions = { vmId: "a-1", addresses: [ADDRESS] };

const authority = await createCertificateAuthority();
const otherAuthority = await createCertificateAuthority();

function openTransport(
  t: Test,
  mode: "optional" | "required" = "required",
) {
  return openTestTransport(t, { ...VALID_KEYS, authority, mode });
}

/** Serves on a peer port and counts the authorized requests. */
async function startServer(t: Test, transport: PeerTransport | undefined) {
  const stats = { authorized: 0, sentBytes: 0, receivedBytes: 0 };
  const server = createServer((request, response) => {
    if (transport?.isAuthorized(request.socket) === false) {
      response.writeHead(403).end();
      return;
    }
    stats.authorized += 1;
    const tcpSocket = transport?.tcpSocketOf(request.socket) ?? request.socket;
    tcpSocket.once("close", () => {
      stats.sentBytes = tcpSocket.bytesWritten;
      stats.receivedBytes = tcpSocket.bytesRead;
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
  return { port: (server.address() as AddressInfo).port, stats, close };
}

/** Sends one request on a new connection; `outcome` is the status or the error message. */
async function sendRequest(
  transport: PeerTransport,
  { port, timeoutMs = 5_000 }: { port: number; timeoutMs?: number },
) {
  let tcpSocket;
  let authorized = false;
  const connector = transport.connector({ timeoutMs });
  const client = new Client(`http://${ADDRESS}:${port}`, {
    connect: (target, callback) =>
      connector(target, (...[error, socket]) => {
        if (error !== null) return callback(error, null);
        tcpSocket = transport.tcpSocketOf(socket);
        authorized = transport.isAuthorizedAs(socket, "a-1");
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
  return { outcome, authorized, tcpSocket: tcpSocket as TLSSocket | undefined };
}

t.test("should report all problems of the key files at once", async (t) => {
  const { files, trust, issue } = openKeyFiles(t, { ...VALID_KEYS, authority });
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
  await issue({ ...VALID_KEYS, usages: ["1.3.6.1.5.5.7.3.1"] });
  t.match(check(), [/^certificateFile Expected the extended key usages/]);
  await issue({ vmId: "b-1", addresses: [OTHER_ADDRESS], validForMs: -1_000 });
  writeFileSync(files.keyFile, (await authority.issue(VALID_KEYS)).key);
  trust(otherAuthority);
  t.match(check(), [
    /^certificateFile .*it expired on/,
    new RegExp(`^certificateFile Expected the IP address ${ADDRESS}`),
    /^certificateFile Expected the URI urn:tanagercove:vm:a-1/,
    /^keyFile Expected the private key of the certificate/,
    /^certificateFile Expected a certificate signed by a CA/,
  ]);
  writeFileSync(files.caFile, (await authority.issue(VALID_KEYS)).certificate);
  writeFileSync(files.keyFile, "no key");
  t.match(check(), [
    /^keyFile Expected a private key/,
    /^caFile Expected CA certificates only/,
  ]);
});

t.test("should secure incoming and outgoing connections, and count the handshake's bytes", async (t) => {
  const { transport } = await openTransport(t);
  const { port, stats, close } = await startServer(t, transport);
  const first = await sendRequest(transport, { port });
  t.equal(first.outcome, 200);
  await waitFor(() => stats.receivedBytes > 0);
  const unreadBytes = stats.sentBytes - first.tcpSocket!.bytesRead;
  t.ok(
    unreadBytes >= 0 && unreadBytes < 64,
    "all but the closing alert is read",
  );
  t.equal(stats.receivedBytes, first.tcpSocket!.bytesWritten);
  t.ok(stats.receivedBytes > 1_000, "certificates are counted");
  t.match(await sendRequest(transport, { port }), {
    outcome: 200,
    authorized: true,
  });
  t.match(transport.state(), { handshakes: 4, resumed: 1, refused: 0 });
  const silent = connect(port, ADDRESS);
  await once(silent, "connect");
  silent.on("error", () => {});
  await Promise.all([once(silent, "close"), close()]);
});

// Guards against a request that is sent to a server with an invalid certificate, and against one that is served
// although the caller's certificate is invalid.
t.test("should neither send a request to a server with an invalid certificate nor serve a caller without a valid one", async (t) => {
  const invalid = {
    "of another CA": await otherAuthority.issue(VALID_KEYS),
    "that expired": await authority.issue({
      ...VALID_KEYS,
      validForMs: -1_000,
    }),
    "of another address": await authority.issue({
      ...VALID_KEYS,
      addresses: [OTHER_ADDRESS],
    }),
  };
  for (const [name, { certificate: cert, key }] of Object.entries(invalid)) {
    const { transport, events } = await openTransport(t);
    let received = 0;
    const hostile = createTlsServer(
      { cert, key },
      (socket) => socket.on("error", () => {}).on("data", () => received += 1),
    );
    hostile.listen(0, ADDRESS);
    await once(hostile, "listening");
    const { port } = hostile.address() as AddressInfo;
    t.type((await sendRequest(transport, { port })).outcome, "string", name);
    t.equal(received, 0, name);
    t.equal(transport.state()!.refused, 1, name);
    t.match(events, [{ event: "peer_refused", direction: "outgoing" }]);
    hostile.close();
  }
  const refusedCallers = {
    ...invalid,
    "without a VM": await authority.issue({ ...VALID_KEYS, vmId: undefined }),
    "none": {},
  };
  // A caller's address is not checked, see docs/security.md.
  delete (refusedCallers as Record<string, unknown>)["of another address"];
  for (const [name, keys] of Object.entries(refusedCallers)) {
    const { transport } = await openTransport(t);
    const { port, stats } = await startServer(t, transport);
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
    t.equal(stats.authorized, 0, name);
    t.equal(transport.state()!.refused, 1, name);
  }
});

// Guards against the outcome "unknown" when the server refuses the caller's certificate: in TLS 1.3 the
// caller learns this only after its own part of the handshake.
t.test("should not send a request when the server refuses the caller's certificate", async (t) => {
  const server = await openTransport(t);
  const { port, stats } = await startServer(t, server.transport);
  const caller = await openTransport(t);
  caller.trust(authority, otherAuthority);
  await caller.issue(VALID_KEYS, otherAuthority);
  await waitFor(() =>
    caller.events.some(({ event }) => event === "peer_keys_taken")
  );
  const { outcome, tcpSocket } = await sendRequest(caller.transport, { port });
  t.type(outcome, "string");
  t.equal(tcpSocket, undefined, "no connection was given to undici");
  t.equal(stats.authorized, 0);
});

// Guards against a caller whose CA the server no longer trusts, but which resumes a session from before that change.
t.test("should not resume sessions from before a change of the server's keys", async (t) => {
  const server = await openTransport(t);
  const { port } = await startServer(t, server.transport);
  const caller = await openTransport(t);
  for (const expected of [200, 200]) {
    t.equal((await sendRequest(caller.transport, { port })).outcome, expected);
  }
  t.equal(caller.transport.state()!.resumed, 1);
  server.trust(authority, otherAuthority);
  await waitFor(() => server.events.length === 1);
  t.equal((await sendRequest(caller.transport, { port })).outcome, 200);
  t.equal(caller.transport.state()!.resumed, 1);
  t.equal((await sendRequest(caller.transport, { port })).outcome, 200);
  t.equal(caller.transport.state()!.resumed, 2, "with a new session");
  await server.issue(VALID_KEYS, otherAuthority);
  server.trust(otherAuthority);
  await waitFor(() =>
    server.events.filter(({ event }) => event === "peer_keys_taken")
      .length === 2
  );
  t.type((await sendRequest(caller.transport, { port })).outcome, "string");
});

t.test("should refuse requests of callers without TLS when TLS is required", async (t) => {
  const { transport, events } = await openTransport(t);
  const { port, stats } = await startServer(t, transport);
  const socket = connect(port, ADDRESS);
  let answer = "";
  socket.on("data", (data) => answer += data);
  socket.write("GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
  await once(socket, "close");
  t.match(answer, /^HTTP\/1\.1 403/);
  t.equal(stats.authorized, 0);
  t.match(events, [{ reason: "Connection without TLS" }]);
});

t.test("should call and serve peers without TLS while TLS is optional", async (t) => {
  const { transport, events } = await openTransport(t, "optional");
  const plain = await startServer(t, undefined);
  t.equal((await sendRequest(transport, plain)).outcome, 200);
  t.equal((await sendRequest(transport, plain)).outcome, 200);
  t.equal(transport.state()!.handshakes, 0);
  const both = await startServer(t, transport);
  const socket = connect(both.port, ADDRESS);
  socket.write("GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
  await once(socket.resume(), "close");
  t.equal((await sendRequest(transport, both)).outcome, 200);
  t.equal(both.stats.authorized, 2);
  t.match(transport.state(), { handshakes: 2, refused: 0 });
  t.same(events, []);
});

t.test("should abort a handshake at its timeout when the other end is silent", async (t) => {
  const { transport } = await openTransport(t, "optional");
  const silent = listenTcp((socket) => socket.on("error", () => {}));
  silent.listen(0, ADDRESS);
  await once(silent, "listening");
  const { port } = silent.address() as AddressInfo;
  const startedAtMs = performance.now();
  const { outcome } = await sendRequest(transport, { port, timeoutMs: 300 });
  t.equal(outcome, "Handshake timed out");
  t.ok(performance.now() - startedAtMs < 2_000);
  silent.close();
});

// Guards against a step of a key rotation after which daemons with old and new keys refuse each other.
t.test("should change CA and keys in steps, and ignore invalid files", async (t) => {
  const ends = [await openTransport(t), await openTransport(t)];
  const servers = await Promise.all(
    ends.map(({ transport }) => startServer(t, transport)),
  );
  const requestBothWays = async () => {
    for (const [from, to] of [[0, 1], [1, 0]] as const) {
      const { port } = servers[to]!;
      t.equal(
        (await sendRequest(ends[from]!.transport, { port })).outcome,
        200,
      );
    }
  };
  const waitForReloads = (end: typeof ends[number], times: number) =>
    waitFor(() =>
      end.events.filter(({ event }) => event === "peer_keys_taken").length >=
        times
    );
  const steps: ((end: typeof ends[number]) => void | Promise<void>)[] = [
    ({ trust }) => trust(authority, otherAuthority),
    ({ issue }) => issue(VALID_KEYS, otherAuthority),
    ({ trust }) => trust(otherAuthority),
  ];
  for (const [index, step] of steps.entries()) {
    for (const end of ends) {
      await step(end);
      await waitForReloads(end, index + 1);
      await requestBothWays();
    }
  }
  const [end] = ends;
  writeFileSync(end!.files.keyFile, "half a fi");
  await waitFor(() =>
    end!.events.some(({ event }) => event === "peer_keys_refused")
  );
  await requestBothWays();
  t.equal(end!.transport.state()!.refused, 0);
});

/** Starts a relay to a port of `ADDRESS` that holds back its first connection until `release`. */
async function startHoldingRelay(t: Test, targetPort: number) {
  const accepted: Socket[] = [];
  const relay = (socket: Socket) => {
    const target = connect(targetPort, ADDRESS);
    target.on("error", () => {});
    socket.pipe(target).pipe(socket);
  };
  const server = listenTcp((socket) => {
    socket.on("error", () => {});
    accepted.push(socket);
    if (accepted.length > 1) relay(socket);
  });
  server.listen(0, ADDRESS);
  await once(server, "listening");
  t.teardown(() => void server.close());
  const { port } = server.address() as AddressInfo;
  return { port, accepted, release: () => relay(accepted[0]!) };
}

// Guards against a connection that fails because its handshake began with the keys from before a change.
t.test("should connect with the new keys if they change during the handshake", async (t) => {
  const server = await openTransport(t);
  const { port } = await startServer(t, server.transport);
  const relay = await startHoldingRelay(t, port);
  const caller = await openTransport(t);
  const ends = [server, caller];
  const waitForReloads = (times: number) =>
    waitFor(() =>
      ends.every(({ events }) =>
        events.filter(({ event }) => event === "peer_keys_taken").length ===
          times
      )
    );
  for (const { trust } of ends) trust(authority, otherAuthority);
  await waitForReloads(1);
  const response = sendRequest(caller.transport, { port: relay.port });
  await waitFor(() => relay.accepted.length === 1);
  for (const { issue } of ends) await issue(VALID_KEYS, otherAuthority);
  await waitForReloads(2);
  for (const { trust } of ends) trust(otherAuthority);
  await waitForReloads(3);
  relay.release();
  t.equal((await response).outcome, 200);
  t.equal(relay.accepted.length, 2);
});
