import t, { type Test } from "tap";
import {
  type CertificateAuthority,
  createCertificateAuthority,
} from "@tanagercove/emulator";
import { openTestTransport } from "@tanagercove/test_helpers";
import { send, startMesh, startScriptedServer } from "./mesh_fixture.ts";

const authority = await createCertificateAuthority();
const otherAuthority = await createCertificateAuthority();

async function openMesh(
  t: Test,
  { net, peerPorts, ownerAuthority }: {
    readonly net: string;
    readonly peerPorts?: readonly number[];
    readonly ownerAuthority: CertificateAuthority;
  },
) {
  const addresses = [1, 2, 250].map((last) => `127.${net}.${last}`);
  const caller = await openTestTransport(t, {
    vmId: "caller",
    addresses,
    authority,
  });
  const owner = await openTestTransport(t, {
    vmId: "vm-0",
    addresses,
    authority: ownerAuthority,
  });
  const upstream = await startScriptedServer(
    `127.${net}.1`,
    (socket) => socket.end("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"),
  );
  const mesh = await startMesh({
    net,
    upstreamPorts: [upstream.port],
    peerPorts,
    proxy: { transport: caller.transport },
    owner: { transport: owner.transport },
    peerTransport: owner.transport,
  });
  t.teardown(async () => {
    await mesh.close();
    await upstream.close();
  });
  return { mesh, upstream, caller, owner };
}

t.test("should forward over TLS", async (t) => {
  const { mesh, owner } = await openMesh(t, {
    net: "24.1",
    ownerAuthority: authority,
  });
  t.equal((await send(mesh, "POST")).outcome, "answered");
  t.match(owner.transport.state(), { handshakes: 1, plain: 0 });
});

t.test("should report a failed handshake as connect_failed and not_run", async (t) => {
  const { mesh, upstream, caller } = await openMesh(t, {
    net: "24.2",
    ownerAuthority: otherAuthority,
  });
  t.match(await send(mesh, "POST"), {
    status: 502,
    outcome: "not_run",
    reason: "connect_failed",
  });
  t.same(upstream.requestIds, []);
  t.ok(caller.transport.state()!.refused > 0);
});

// An owner daemon that accepts connections but never answers the TLS handshake must not hold a request
// past its deadline.
t.test("should end at the deadline as not_run when a TLS handshake gets no answer", async (t) => {
  const silent = await startScriptedServer("127.24.3.1", () => {});
  t.teardown(() => silent.close());
  const { mesh } = await openMesh(t, {
    net: "24.3",
    ownerAuthority: authority,
    peerPorts: [silent.port],
  });
  const startedAtMs = performance.now();
  const answer = await send(
    mesh,
    "POST",
    "tanagercove-deadline-ms: 300\r\n",
  );
  t.match(answer, { status: 504, outcome: "not_run", reason: "deadline" });
  t.ok(performance.now() - startedAtMs < 2_000);
});
