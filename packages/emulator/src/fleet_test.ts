import { spawn } from "node:child_process";
import { once } from "node:events";
import { existsSync, readFileSync } from "node:fs";
import t from "tap";
import { request } from "undici";
import { openMesh, waitFor } from "@tanagercove/test_helpers";
import { runLoad } from "./load.ts";
import { executionsOf } from "./mesh.ts";

const SEED = 5;
const UPDATE_TIMEOUT_MS = 15_000;
const LISTS = {
  plans: "isla = basic\n",
  allowances: "basic = swatches\n",
} as const;

t.test("should kill, pause, restart and stop daemons and tell one process from the next", async (t) => {
  const mesh = await openMesh(t, {
    zones: ["perth-1"],
    services: ["swatches"],
    ...LISTS,
  });
  const { fleet, platform } = mesh;
  const daemon = fleet.daemons[0]!;
  await fleet.waitUntilInForce(1, { timeoutMs: UPDATE_TIMEOUT_MS });
  daemon.pause();
  await t.rejects(daemon.status(500));
  t.same(fleet.active, []);
  daemon.resume();
  t.equal((await daemon.status()).revision, 1);
  await daemon.kill();
  await t.rejects(request(mesh.callerUrl(daemon.id)), { code: "ECONNREFUSED" });
  await daemon.start();
  const revision = platform.publish("plans", "isla = none\n");
  await fleet.waitUntilInForce(revision, { timeoutMs: UPDATE_TIMEOUT_MS });
  t.equal(daemon.processNumber, 2);
  t.equal(fleet.history.latest(daemon.id, 1)?.revision, 1);
  t.equal(fleet.history.latest(daemon.id, 2)?.revision, revision);
  t.same(fleet.history.violations, []);
  t.match(fleet.formatLogs(), /version_taken/);
  daemon.pause();
  await mesh.close();
  t.notOk(daemon.isRunning);
});

t.test("should match the requests of a load run with the executions of all upstream processes", async (t) => {
  const mesh = await openMesh(t, {
    zones: ["perth-1", "perth-2"],
    services: ["swatches"],
    upstreams: "processes",
    ...LISTS,
  });
  await mesh.fleet.waitUntilInForce(1, { timeoutMs: UPDATE_TIMEOUT_MS });
  const report = await runLoad({
    targets: mesh.vms.map(({ id }) => mesh.callerUrl(id)),
    customers: ["isla"],
    services: ["swatches"],
    ratePerSecond: 50,
    durationMs: 1_000,
    seed: SEED,
    answerBytes: 20_000,
    executions: () => executionsOf(mesh),
  });
  t.comment(`seed ${SEED}`);
  t.ok(report.byOutcome.answered > 25);
  t.same(report.wrongAnswers, []);
  t.match(report.comparison, { runTwice: [], lost: [], notRunThatRan: [] });
});

t.test("should leave no process behind when the demo's process is killed", async (t) => {
  const demo = spawn(process.execPath, [
    "dist/emulator.cjs",
    "demo",
  ], { stdio: ["ignore", "pipe", "inherit"] });
  t.teardown(() => demo.kill("SIGKILL"));
  let output = "";
  demo.stdout.on("data", (chunk) => output += chunk);
  await waitFor(() => output.includes("Load of"), { timeoutMs: 40_000 });
  const children = readFileSync(
    `/proc/${demo.pid}/task/${demo.pid}/children`,
    "utf8",
  ).trim().split(" ");
  t.equal(children.length, 12);
  demo.kill("SIGKILL");
  await once(demo, "close");
  await waitFor(() => !children.some((pid) => existsSync(`/proc/${pid}`)));
});
