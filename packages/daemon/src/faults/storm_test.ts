import { setTimeout as sleep } from "node:timers/promises";
import {
  type DaemonProcess,
  pickOne,
  seededRandom,
} from "@tanagercove/emulator";
import {
  FAULT_ZONES,
  type FaultCase,
  faultTest,
} from "@tanagercove/test_helpers";

const SEED = 41;
const STEPS = 14;
const MAX_STEP_MS = 900;

type Fault = (faultCase: FaultCase, zone: string) => unknown;

const FAULTS: Readonly<Record<string, Fault>> = {
  kill: ({ mesh }, zone) => mesh.fleet.kill(running(mesh.fleet.zone(zone))),
  pause: ({ mesh }, zone) => {
    for (const daemon of running(mesh.fleet.zone(zone))) daemon.pause();
  },
  cut_from_zones: (faultCase, zone) => faultCase.cutFromZones(zone),
  cut_from_platform: (faultCase, zone) => faultCase.cutFromPlatform(zone),
  lose_connections: ({ mesh }) => {
    const action = { action: "silent", newConnections: "pass" } as const;
    mesh.relay!.addRule({ from: {}, to: {}, ...action }).remove();
  },
  outage: ({ mesh }) => mesh.platform.setMode("outage"),
  stale: ({ mesh }) => mesh.platform.setMode("stale"),
  bad_version: ({ mesh }) => {
    mesh.platform.publish("allowances", "no equals sign\n");
    mesh.platform.publish("allowances", "basic = swatches\nfull = swatches\n");
  },
  heal: heal,
};

faultTest(
  "should have the last version in force after a sequence of randomly chosen faults",
  async (t, faultCase) => {
    t.comment(`seed ${SEED}`);
    const random = seededRandom(SEED);
    for (let step = 0; step < STEPS; step += 1) {
      const name = pickOne(Object.keys(FAULTS), random);
      const zone = pickOne(FAULT_ZONES, random);
      t.comment(`step ${step}: ${name} ${zone}`);
      await FAULTS[name]!(faultCase, zone);
      faultCase.edit();
      await sleep(random() * MAX_STEP_MS);
    }
    const revision = faultCase.edit();
    await heal(faultCase);
    await faultCase.expectInForce(revision);
    await faultCase.applyEdit();
    t.equal(faultCase.mesh.fleet.active.length, 9);
  },
);

async function heal({ mesh }: FaultCase): Promise<void> {
  const { fleet, platform, relay } = mesh;
  relay!.clearRules();
  platform.setMode("normal");
  for (const daemon of fleet.daemons) {
    if (daemon.isPaused) daemon.resume();
  }
  await fleet.start(fleet.daemons.filter((daemon) => !daemon.isRunning));
}

function running(daemons: readonly DaemonProcess[]): readonly DaemonProcess[] {
  return daemons.filter((daemon) => daemon.isRunning);
}
