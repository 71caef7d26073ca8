import t from "tap";
import { request } from "undici";
import {
  createCertificateAuthority,
  type DaemonProcess,
  executionsOf,
  type Mesh,
  runLoad,
} from "@tanagercove/emulator";
import { RpcClient, type RpcMethod } from "@tanagercove/rpc";
import {
  IN_FORCE_BOUND_MS,
  openMesh,
  openTestTransport,
  waitFor,
} from "@tanagercove/test_helpers";
import { HEADERS } from "@tanagercove/types";

const ZONES = ["zone-a", "zone-b"];
const SERVICES = ["swatches", "reservations"];
const FIRST_VERSION_TIMEOUT_MS = 20_000;
const LOAD_MS = 6_000;
const SEED = 20_261_205;
const HASH = "0".repeat(64);

const MESH = {
  zones: ZONES,
  services: SERVICES,
  relay: false,
  plans: "perth = basic\n",
  allowances: `basic = ${SERVICES.join(", ")}\n`,
};

async function waitForFirstVersion(mesh: Mesh): Promise<void> {
  await mesh.fleet.waitUntilInForce(mesh.platform.revision, {
    timeoutMs: FIRST_VERSION_TIMEOUT_MS,
  });
}

/** Sends a POST to each service through a daemon and returns the outcomes with their reasons. */
async function postToAllServices(
  mesh: Mesh,
  id: string,
): Promise<readonly string[]> {
  return await Promise.all(SERVICES.map(async (service) => {
    const { headers, body } = await request(mesh.callerUrl(id), {
      method: "POST",
      headers: { [HEADERS.service]: service, [HEADERS.customer]: "perth" },
    });
    await body.dump();
    return [headers[HEADERS.outcome], headers[HEADERS.reason]]
      .filter(Boolean).join(" ");
  }));
}

async function peerKeysOf(
  daemon: DaemonProcess,
): Promise<Record<string, number>> {
  const { peer_keys } = await daemon.dump() as {
    peer_keys: Record<string, number>;
  };
  return peer_keys;
}

// Guards against requests that are lost, or daemons that refuse each other, while keys change.
t.test("should change CA, certificates and keys under load without a lost request", async (t) => {
  const mesh = await openMesh(t, { ...MESH, tls: "required" });
  const { fleet, platform } = mesh;
  await waitForFirstVersion(mesh);
  t.comment(`seed ${SEED}`);
  const load = runLoad({
    targets: mesh.vms.map(({ id }) => mesh.callerUrl(id)),
    customers: ["perth"],
    services: SERVICES,
    ratePerSecond: 60,
    durationMs: LOAD_MS,
    seed: SEED,
    executions: () => executionsOf(mesh),
  });
  const newAuthority = await createCertificateAuthority();
  const oldAuthority = fleet.keys.authority;
  const applyKeyChange = async (step: () => Promise<void>) => {
    const countReloads = ({ log }: DaemonProcess) =>
      log.lines.filter((line) => line.includes('"peer_keys_taken"')).length;
    const before = fleet.daemons.map(countReloads);
    await step();
    await waitFor(
      () =>
        fleet.daemons.every((daemon, i) => countReloads(daemon) > before[i]!),
      { what: "keys taken by all daemons" },
    );
  };
  await applyKeyChange(() => fleet.keys.trust([oldAuthority, newAuthority]));
  await applyKeyChange(() => fleet.keys.issue(newAuthority));
  await applyKeyChange(() => fleet.keys.trust([newAuthority]));
  const revision = platform.publish("plans", "perth = basic\nlagos = basic\n");
  await fleet.waitUntilInForce(revision, { timeoutMs: IN_FORCE_BOUND_MS });
  const report = await load;
  t.ok(report.requests > 100);
  t.equal(report.byOutcome.answered, report.requests, "all are answered");
  t.match(report.comparison, { runTwice: [], lost: [], notRunThatRan: [] });
  for (const daemon of fleet.daemons) {
    t.match(await peerKeysOf(daemon), { refused: 0, plain: 0 });
    t.same(
      daemon.log.lines.filter((line) => line.includes("peer_refused")),
      [],
    );
  }
});

// Guards against senders that reach a peer port without a certificate or with another VM's certificate.
t.test("should refuse forged messages, and requests from a daemon without TLS, when TLS is required", async (t) => {
  const mesh = await openMesh(t, {
    ...MESH,
    tls: "required",
    settings: ({ vm }) => ({
      peers: { tls: vm.id === "swatches-1-1" ? "off" : "required" },
    }),
  });
  const { fleet } = mesh;
  await waitForFirstVersion(mesh);
  const outcomes = await postToAllServices(mesh, "swatches-1-1");
  t.match(outcomes, ["answered", /^not_run (connect_failed|no_upstream)$/]);
  t.same(await postToAllServices(mesh, "swatches-2-1"), [
    "answered",
    "answered",
  ]);

  const victim = fleet.daemon("reservations-1-1");
  const { address, peerPort: port } = victim.vm;
  const forged: readonly { method: RpcMethod; params: unknown }[] = [
    {
      method: "versions.push",
      params: {
        sender: { vm_id: "swatches-2-1", process_id: "p" },
        kind: "lists",
        target: { revision: 1_000, hash: HASH },
      },
    },
    {
      method: "membership.leaving",
      params: { vm_id: "swatches-2-1", process_id: "p", age_ms: 0 },
    },
  ];
  const otherVm = await openTestTransport(t, {
    vmId: "reservations-2-1",
    addresses: [fleet.daemon("reservations-2-1").address],
    authority: fleet.keys.authority,
  });
  const before = (await peerKeysOf(victim)).refused!;
  for (const transport of [undefined, otherVm.transport]) {
    const client = new RpcClient({ transport });
    for (const call of forged) {
      const result = await client.call({ address, port }, call);
      t.ok(result.isErr, `${call.method} is refused`);
    }
    await client.close();
  }
  t.ok((await peerKeysOf(victim)).refused! >= before + 4, "counted");
  t.ok(victim.log.lines.some((line) => line.includes('"peer_refused"')));
  t.same(await postToAllServices(mesh, victim.id), ["answered", "answered"]);
});

// Guards against a step of the change from off to required after which daemons cannot reach each other.
t.test("should change TLS from off to optional to required one daemon at a time", async (t) => {
  const modes = new Map<string, string>();
  const mesh = await openMesh(t, {
    ...MESH,
    tls: "required",
    settings: ({ vm }) => ({ peers: { tls: modes.get(vm.id) ?? "off" } }),
  });
  const { fleet, platform } = mesh;
  await waitForFirstVersion(mesh);
  let edits = 0;
  for (const mode of ["optional", "required"]) {
    for (const [index, daemon] of fleet.daemons.entries()) {
      modes.set(daemon.id, mode);
      await daemon.restart();
      await waitFor(async () =>
        (await daemon.status()).json.state === "serving"
      );
      if (index % 2 === 0) continue;
      edits += 1;
      const revision = platform.publish(
        "plans",
        `perth = basic\nc${edits} = basic\n`,
      );
      await fleet.waitUntilInForce(revision, {
        timeoutMs: FIRST_VERSION_TIMEOUT_MS,
      });
      for (const { id } of fleet.daemons) {
        t.same(
          await postToAllServices(mesh, id),
          ["answered", "answered"],
          `${mode} ${index} ${id}`,
        );
      }
    }
  }
  for (const daemon of fleet.daemons) {
    t.match(await peerKeysOf(daemon), { refused: 0, plain: 0 });
  }
});
