import type { Test } from "tap";
import {
  killProcessesOnSignals,
  type Mesh,
  startMesh,
  type StartMeshOptions,
} from "@tanagercove/emulator";

let cleansUpOnSignals = false;

/**
 * Starts a mesh for a test. It is closed at the test's end, however the test ends, and the logs of its
 * daemons are shown when the test has failed.
 */
export async function openMesh(
  t: Test,
  options: StartMeshOptions,
): Promise<Mesh> {
  if (!cleansUpOnSignals) killProcessesOnSignals();
  cleansUpOnSignals = true;
  const mesh = await startMesh(options);
  t.teardown(async () => {
    if (!t.passing()) console.error(mesh.fleet.formatLogs());
    await mesh.close();
  });
  return mesh;
}
