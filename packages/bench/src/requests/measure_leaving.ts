import { setTimeout as sleep } from "node:timers/promises";
import type { Vm } from "@tanagercove/types";
import { round } from "../common/statistics.ts";
import { judge, LAST_NEW_WORK_MAX_MS, notShown } from "./bars.ts";
import type { SystemUnderTest } from "./system.ts";

/** Signal by which daemons learn that an upstream is leaving. */
export type LeavingSignal = "sigterm" | "health" | "vm_list";

const SIGNALS: readonly LeavingSignal[] = ["sigterm", "health", "vm_list"];
const BEFORE_MS = 1_500;
/** Longer than `LAST_NEW_WORK_MAX_MS`, so that late work is observed. */
const AFTER_MS = 4_500;
const RECOVERY_MS = 1_500;

interface Leaving {
  readonly signal: LeavingSignal;
  readonly vm: Vm;
}

/** Makes three upstreams of different services leave under load and finds when each last received new work. */
export async function measureLeaving(
  system: SystemUnderTest,
): Promise<readonly Readonly<Record<string, unknown>>[]> {
  const { mesh, plan } = system;
  const leaving = chooseLeaving(mesh.vms);
  const vmOf = (signal: LeavingSignal) =>
    leaving.find((entry) => entry.signal === signal)!.vm;
  const isStaying = (vm: Vm) => leaving.every((entry) => entry.vm.id !== vm.id);
  const load = system.load({
    ratePerSecond: plan.capacityPerSecond / 2,
    durationMs: BEFORE_MS + AFTER_MS,
    callers: mesh.vms.filter(isStaying),
  });
  await sleep(BEFORE_MS);
  const leftAtMs = performance.timeOrigin + performance.now();
  const daemonEnded = mesh.fleet.daemon(vmOf("sigterm").id).stop(AFTER_MS);
  const drained = system.upstream(vmOf("health")).control({
    action: "set_state",
    state: "draining",
  });
  mesh.publishVms({ [vmOf("vm_list").id]: "leaving" });
  await Promise.all([load, daemonEnded, drained]);
  await system.compare();
  const results = leaving.map((entry) => lastNewWork(system, entry, leftAtMs));
  await restore(system, leaving);
  return results;
}

function chooseLeaving(vms: readonly Vm[]): readonly Leaving[] {
  const services = [...new Set(vms.map(({ service }) => service))];
  return SIGNALS.map((signal, index) => ({
    signal,
    vm: vms.filter(({ service }) => service === services[index])[index]!,
  }));
}

function lastNewWork(
  system: SystemUnderTest,
  { signal, vm }: Leaving,
  leftAtMs: number,
): Readonly<Record<string, unknown>> {
  const startTimesMs = system.upstream(vm).logs
    .flatMap((log) => log.all)
    .map(({ startedAtMs }) => startedAtMs - leftAtMs);
  const after = startTimesMs.filter((startMs) => startMs > 0);
  const lastMs = after.reduce((last, startMs) => Math.max(last, startMs), 0);
  // An upstream without work before the signal would meet the bar without proving anything.
  const before =
    startTimesMs.filter((startMs) => startMs <= 0 && startMs > -BEFORE_MS)
      .length;
  const bar = `last new work within ${LAST_NEW_WORK_MAX_MS} ms of leaving`;
  return {
    signal,
    vm: vm.id,
    startsBefore: before,
    startsAfter: after.length,
    lastNewWorkMs: round(lastMs),
    observedForMs: AFTER_MS,
    bars: [
      before === 0
        ? notShown(bar, "no work before it left")
        : judge(bar, lastMs <= LAST_NEW_WORK_MAX_MS),
    ],
  };
}

async function restore(
  system: SystemUnderTest,
  leaving: readonly Leaving[],
): Promise<void> {
  const { mesh } = system;
  mesh.publishVms();
  for (const { signal, vm } of leaving) {
    if (signal === "health") {
      await system.upstream(vm).control({
        action: "set_state",
        state: "ready",
      });
    }
    // The daemon of the VM that the VM list marks as leaving may have ended as well.
    const daemon = mesh.fleet.daemon(vm.id);
    if (!daemon.isRunning) await daemon.start();
  }
  await sleep(RECOVERY_MS);
}
