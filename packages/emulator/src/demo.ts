import { request } from "undici";
import { HEADERS } from "@tanagercove/types";
import { runLoad } from "./load.ts";
import type { CallRecord, LoadReport } from "./load_report.ts";
import { executionsOf, type Mesh, startMesh } from "./mesh.ts";
import { formatTable } from "./text_table.ts";

/** Options of `runDemo`. */
export interface RunDemoOptions {
  /** Ends after a short load instead of running until `signal` aborts. */
  readonly once: boolean;
  readonly signal: AbortSignal;
  readonly write: (line: string) => void;
}

interface DemoCall {
  readonly customer: string;
  readonly service: string;
}

const ZONES = ["perth-1", "perth-2", "perth-3"];
const SERVICES = ["swatches", "reservations"];
const SEED = 7;
const LOAD_PER_SECOND = 20;
const ONCE_LOAD_MS = 3_000;
const REPORT_INTERVAL_MS = 5_000;
/** Time within which an accepted version must be in force, as docs/design.md states it. */
const IN_FORCE_BOUND_MS = 3_000;
/** Longer than `IN_FORCE_BOUND_MS`, so that the demo also completes on a slow machine. */
const IN_FORCE_TIMEOUT_MS = 15_000;

/**
 * Runs three zones of daemons and upstream processes, edits both lists, shows when each edit is in
 * force and how requests are answered before and after the edits, and then sends a light load. Returns
 * false if a POST request ran more than once, if a request was lost, wrongly reported as not run or
 * wrongly answered, or if a daemon reported a wrong version.
 */
export async function runDemo(options: RunDemoOptions): Promise<boolean> {
  const { write } = options;
  write(`Starting ${ZONES.length} zones with ${SERVICES.join(", ")} in each`);
  const mesh = await startMesh({
    zones: ZONES,
    services: SERVICES,
    upstreams: "processes",
    upstreamOptions: () => ({
      serviceTime: { shape: "exponential", meanMs: 3 },
    }),
    plans: "# customer = plan\nisla = basic\n",
    allowances: "basic = swatches\n",
    ownProcessGroup: true,
  });
  try {
    await showEdits(mesh, write);
    const report = await runDemoLoad(mesh, options);
    return showSummary({ mesh, report, write });
  } finally {
    await mesh.close();
    write("All processes have ended");
  }
}

async function showEdits(
  mesh: Mesh,
  write: RunDemoOptions["write"],
): Promise<void> {
  const { platform } = mesh;
  await showVersion(mesh, {
    title: "Before any edit",
    revision: platform.revision,
    write,
  });
  await showCalls(mesh, write);
  const allowancesRevision = platform.publish(
    "allowances",
    "basic = swatches\nfull = swatches, reservations\n",
  );
  await showVersion(mesh, {
    title: "Edit of allowances: full = swatches, reservations",
    revision: allowancesRevision,
    write,
  });
  const plansRevision = platform.publish(
    "plans",
    "# customer = plan\nisla = full\nfergus = basic\n",
  );
  await showVersion(mesh, {
    title: "Edit of plans: isla = full, fergus = basic",
    revision: plansRevision,
    write,
  });
  await showCalls(mesh, write);
}

interface ShowVersionOptions {
  readonly title: string;
  readonly revision: number;
  readonly write: RunDemoOptions["write"];
}

async function showVersion(
  { fleet }: Mesh,
  { title, revision, write }: ShowVersionOptions,
): Promise<void> {
  const startedAtMs = performance.now();
  await fleet.waitUntilInForce(revision, { timeoutMs: IN_FORCE_TIMEOUT_MS });
  const rows = fleet.daemons.map(({ id, vm, processNumber }) => {
    const latest = fleet.history.latest(id, processNumber);
    const atMs =
      fleet.history.firstReportedAtMs(id, { processNumber, revision }) ??
        startedAtMs;
    const afterMs = Math.max(0, Math.round(atMs - startedAtMs));
    return [
      id,
      vm.zone,
      String(latest?.revision),
      latest?.hash.slice(0, 12) ?? "",
      `${afterMs} ms${afterMs > IN_FORCE_BOUND_MS ? " (late)" : ""}`,
    ];
  });
  const head = ["daemon", "zone", "revision", "hash", "in force after"];
  write(`\n${title}: revision ${revision}\n${formatTable([head, ...rows])}`);
}

async function showCalls(
  mesh: Mesh,
  write: RunDemoOptions["write"],
): Promise<void> {
  const calls: readonly DemoCall[] = [
    { customer: "isla", service: "swatches" },
    { customer: "isla", service: "reservations" },
    { customer: "fergus", service: "reservations" },
  ];
  const head = [
    "customer",
    "service",
    "status",
    "outcome",
    "reason or upstream",
  ];
  const rows = await Promise.all(calls.map((call) => sendDemoCall(mesh, call)));
  write(`\nRequests to ${mesh.vms[0]!.id}\n${formatTable([head, ...rows])}`);
}

async function sendDemoCall(
  mesh: Mesh,
  { customer, service }: DemoCall,
): Promise<readonly string[]> {
  const url = mesh.callerUrl(mesh.vms[0]!.id);
  const response = await request(`${url}/demo`, {
    headers: { [HEADERS.customer]: customer, [HEADERS.service]: service },
  });
  const body = await response.body.json() as {
    upstream?: string;
    reason?: string;
  };
  return [
    customer,
    service,
    String(response.statusCode),
    String(response.headers[HEADERS.outcome]),
    body.upstream ?? body.reason ?? "",
  ];
}

async function runDemoLoad(
  mesh: Mesh,
  { once, signal, write }: RunDemoOptions,
): Promise<LoadReport> {
  const duration = once ? `${ONCE_LOAD_MS / 1_000} s` : "until ctrl-C";
  write(`\nLoad of ${LOAD_PER_SECOND} requests/s, seed ${SEED}, ${duration}`);
  let recent: CallRecord[] = [];
  const timer = setInterval(() => {
    write(describeCalls(recent));
    recent = [];
  }, REPORT_INTERVAL_MS);
  const report = await runLoad({
    targets: mesh.vms.map(({ id }) => mesh.callerUrl(id)),
    customers: ["isla", "fergus"],
    services: SERVICES,
    ratePerSecond: LOAD_PER_SECOND,
    durationMs: once ? ONCE_LOAD_MS : Infinity,
    seed: SEED,
    signal,
    onCall: (call) => recent.push(call),
    executions: () => executionsOf(mesh),
  });
  clearInterval(timer);
  return report;
}

function describeCalls(calls: readonly CallRecord[]): string {
  const count = (outcome: CallRecord["outcome"]) =>
    calls.filter((call) => call.outcome === outcome).length;
  return `${calls.length} requests: ${count("answered")} answered, ${
    count("not_run")
  } not run, ${count("unknown") + count("none")} unknown`;
}

interface ShowSummaryOptions {
  readonly mesh: Mesh;
  readonly report: LoadReport;
  readonly write: RunDemoOptions["write"];
}

function showSummary({ mesh, report, write }: ShowSummaryOptions): boolean {
  const { comparison, latency, wrongAnswers } = report;
  const { violations } = mesh.fleet.history;
  const { calls } = mesh.platform;
  write(`\n${
    formatTable([
      ["requests", "count", "p50 ms", "p90 ms", "p99 ms", "max ms"],
      ...Object.entries(latency).map(([name, summary]) => [
        `answered, ${name === "idempotent" ? "GET" : "POST"}`,
        String(summary.count),
        summary.p50Ms.toFixed(2),
        summary.p90Ms.toFixed(2),
        summary.p99Ms.toFixed(2),
        summary.maxMs.toFixed(2),
      ]),
    ])
  }`);
  const faults = [
    ...(comparison?.runTwice ?? []).map((id) => `${id} ran twice`),
    ...(comparison?.lost ?? []).map((id) =>
      `${id} was reported as answered but did not run`
    ),
    ...(comparison?.notRunThatRan ?? []).map((id) =>
      `${id} ran although it was reported as not run`
    ),
    ...wrongAnswers,
    ...violations,
  ];
  write(
    `\n${report.byOutcome.answered} answered, ${report.byOutcome.not_run} not run, ${
      report.byOutcome.unknown + report.byOutcome.none
    } unknown; platform calls: ${calls.watch} watches, ${calls.index} indexes, ${calls.value} values`,
  );
  write(
    faults.length === 0
      ? "Nothing ran twice, was lost or was reported wrongly; no daemon's version fell"
      : faults.join("\n"),
  );
  return faults.length === 0;
}
