import { createServer } from "node:http";
import t, { type Test } from "tap";
import { startPlatformStandIn } from "@tanagercove/emulator";
import { formatVms } from "@tanagercove/lists";
import { createLogger } from "@tanagercove/logs";
import { parseSettings } from "@tanagercove/settings";
import { waitFor } from "@tanagercove/test_helpers";
import type { Vm } from "@tanagercove/types";
import { type Configuration, createConfiguration } from "./configuration.ts";

const PEER_PORT = 8081;
/** Nothing listens there, so connections are refused. */
const UNUSED_URL = "http://127.21.100.100:9";

function vmOf(zone: number, n: number): Vm {
  return {
    id: `vm-${zone}-${n}`,
    service: "swatches",
    zone: `zone-${zone}`,
    region: "region-1",
    address: `127.21.${100 + zone}.${n}`,
    callerPort: 8080,
    peerPort: PEER_PORT,
    upstreamPort: 8083,
    state: "live",
  };
}

const VMS = [1, 2, 3].flatMap((zone) =>
  [1, 2, 3, 4, 5].map((n) => vmOf(zone, n))
);

/** Starts the configuration of a VM with its peer port. */
async function startConfiguration(t: Test, options: {
  readonly vm: Vm;
  readonly platformUrl: string;
  readonly seeds?: readonly Vm[];
}): Promise<Configuration> {
  const { vm, platformUrl, seeds = [] } = options;
  const settings = parseSettings(
    `[daemon]\nvm_id = ${vm.id}\nzone = ${vm.zone}\nregion = ${vm.region}\n` +
      `service = ${vm.service}\naddress = ${vm.address}\n` +
      `caller_port = ${vm.callerPort}\npeer_port = ${vm.peerPort}\n` +
      `[platform]\nurl = ${platformUrl}\n` +
      `[peers]\nseeds = ${
        seeds.map(({ address }) => `${address}:${PEER_PORT}`).join(", ")
      }\n[upstream]\naddress = ${vm.address}\nport = ${vm.upstreamPort}\n`,
  ).unwrapOrElse((problems) => {
    throw new Error(JSON.stringify(problems));
  });
  const configuration = createConfiguration({
    settings,
    log: createLogger({ vmId: vm.id, zone: vm.zone, write: () => {} }),
    summary: () => ({ vm_id: vm.id }),
  });
  const server = createServer((request, response) =>
    void configuration.handleRpc(request, response)
  );
  await new Promise<void>((resolve) =>
    server.listen(vm.peerPort, vm.address, resolve)
  );
  configuration.start();
  t.teardown(async () => {
    await configuration.close();
    server.closeAllConnections();
    server.close();
  });
  return configuration;
}

t.test("should distribute over real connections with two readers in each zone", async (t) => {
  const platform = await startPlatformStandIn();
  t.teardown(() => platform.close());
  platform.publish("allowances", "basic = swatches\n");
  platform.publish("vms", formatVms(VMS));
  platform.publish("plans", "perth = basic\n");
  const daemons = await Promise.all(
    VMS.map((vm) => startConfiguration(t, { vm, platformUrl: platform.url })),
  );
  const waitForRevision = (revision: number) =>
    waitFor(
      () =>
        daemons.every((daemon) => daemon.routingTable()?.revision === revision),
      { what: `revision ${revision} everywhere` },
    );
  await waitForRevision(platform.revision);
  const roles = () =>
    daemons.map(({ distribution }) => distribution.dump().role);
  await waitFor(
    () => roles().filter((role) => role === "reader").length === 6,
    { what: "two readers in each zone" },
  );
  const callsBefore = platform.callCount;
  const startedMs = performance.now();
  await waitForRevision(
    platform.publish("plans", "perth = basic\noban = basic\n"),
  );
  const tookMs = Math.round(performance.now() - startedMs);
  const calls = platform.callCount - callsBefore;
  t.comment(`in force on 15 daemons after ${tookMs} ms with ${calls} calls`);
  t.ok(tookMs < 3_000);
  t.ok(calls <= 6 * 4, "an index, a value and two watches for each reader");
  const counts = daemons.map(({ distribution }) => distribution.dump());
  t.ok(counts.some(({ replication }) => replication.pushesReceived > 0));

  const joiner = await startConfiguration(t, {
    vm: vmOf(1, 9),
    platformUrl: UNUSED_URL,
    seeds: [VMS[0]!],
  });
  await waitFor(() => joiner.routingTable()?.revision === platform.revision);
  t.notOk(joiner.distribution.floorUnconfirmed, "joined without the platform");
  const summary = await joiner.fetchSummary(VMS[3]!);
  t.strictSame(summary.unwrapOr(undefined), { vm_id: VMS[3]!.id });
  const dump = JSON.parse(JSON.stringify(joiner.dump()));
  t.equal(dump.distribution.versions.lists.held.revision, platform.revision);
  t.ok(dump.distribution.join.holders >= 1);
  t.ok(dump.control_bytes.received_bytes > 1_000);
});
