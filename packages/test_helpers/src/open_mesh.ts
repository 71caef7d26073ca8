import type { Test } from "tap";
import {
  killProcessesOnSignals,
  type Mesh,
  startMesh,
  type StartMeshOptions,
} from "@tanagercove/emulator";

let cleansUpOnSignals = false;

/**
 * Starts a mesh for a test. It is closed when the test ends, also on failure, and the logs of its daemons
 * are printed if the test failed.
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
