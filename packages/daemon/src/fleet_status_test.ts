import { Result } from "true-myth";
import t from "tap";
import type { RpcError } from "@tanagercove/errors";
import type { Vm } from "@tanagercove/types";
import type { DaemonSummary } from "./daemon_summary.ts";
import { gatherFleetStatus } from "./fleet_status.ts";

const OWN: DaemonSummary = {
  vm_id: "vm-0",
  zone: "zone-a",
  region: "r",
  service: "s",
  state: "serving",
  program_version: "test",
  uptime_ms: 1,
  floor_unconfirmed: false,
  refused: [],
};

function vms(count: number): readonly Vm[] {
  return Array.from({ length: count }, (_, i) => ({
    id: `vm-${i}`,
    service: "s",
    zone: "zone-a",
    region: "r",
    address: "127.24.2.1",
    callerPort: 1,
    peerPort: 2,
    upstreamPort: 3,
    state: "live",
  }));
}

t.test("should name every daemon that did not give its own summary", async (t) => {
  const answers: Readonly<Record<string, Result<unknown, RpcError>>> = {
    "vm-1": Result.ok({ ...OWN, vm_id: "vm-1" }),
    "vm-2": Result.err({ kind: "timeout", timeoutMs: 1_000 }),
    "vm-3": Result.ok({ ...OWN, vm_id: "vm-9" }),
    "vm-4": Result.ok({ ...OWN, vm_id: "vm-4", state: "fine" }),
    "vm-5": Result.ok(null),
  };
  const status = await gatherFleetStatus({
    own: OWN,
    vms: vms(6),
    fetchSummary: (vm) => Promise.resolve(answers[vm.id]!),
  });
  t.same(status.daemons.map(({ vm_id }) => vm_id), ["vm-0", "vm-1"]);
  t.same(status.missing.map(({ vm_id, reason }) => `${vm_id}: ${reason}`), [
    "vm-2: No response within 1000 ms",
    'vm-3: Another VM answered: "vm-9"',
    "vm-4: Malformed summary",
    "vm-5: Malformed summary",
  ]);
});

t.test("should limit the calls in flight and the total time, since a fleet can have thousands of daemons", async (t) => {
  let running = 0;
  let mostRunning = 0;
  const status = await gatherFleetStatus({
    own: OWN,
    vms: vms(200),
    concurrency: 8,
    timeoutMs: 30,
    fetchSummary: async (vm) => {
      mostRunning = Math.max(mostRunning, ++running);
      await new Promise((resolve) => setTimeout(resolve, 10));
      running -= 1;
      return Result.ok({ ...OWN, vm_id: vm.id });
    },
  });
  t.equal(mostRunning, 8);
  t.equal(status.daemons.length + status.missing.length, 200);
  t.match(status.missing.at(-1), { reason: "Not asked within 30 ms" });
});

t.test("should truncate what a peer sends, so that one daemon cannot fill an operator's screen", async (t) => {
  const refused = Array.from({ length: 100 }, () => ({
    revision: 1,
    hash: "a",
    reason: "x".repeat(1_000_000),
  }));
  const status = await gatherFleetStatus({
    own: OWN,
    vms: vms(2),
    fetchSummary: (vm) =>
      Promise.resolve(Result.ok({ ...OWN, vm_id: vm.id, refused })),
  });
  t.equal(status.daemons[1]?.refused.length, 16);
  t.equal(status.daemons[1]?.refused[0]?.reason.length, 2_000);
});
