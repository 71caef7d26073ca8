import { spawn } from "node:child_process";
import { readFileSync, writeFileSync } from "node:fs";
import t from "tap";
import { waitFor } from "@tanagercove/test_helpers";
import {
  createBoundedLogger,
  createLogger,
  eventsReference,
  LineLimit,
  LOG_EVENTS,
  logEvent,
  RefusalSummary,
} from "./index.ts";

const OPERATORS_PAGE = "docs/operators.md";
const REFERENCE_START = "<!-- deno-fmt-ignore-start -->\n\n";
const REFERENCE_END = "\n<!-- deno-fmt-ignore-end -->";

const UNITS = /_(ms|bytes|port)$/;

function capture(level?: "warn") {
  const lines: Record<string, unknown>[] = [];
  const write = (line: string) => void lines.push(JSON.parse(line));
  const log = createLogger({ vmId: "a-1", zone: "zone-a", level, write });
  return { log, lines };
}

t.test("should write level, time, VM and fields under their fixed names", (t) => {
  const { log, lines } = capture();
  logEvent(log, { event: "platform_lost", reason: "timeout" });
  const { time_ms, ...rest } = lines[0]!;
  t.type(time_ms, "number");
  t.same(rest, {
    level: "warn",
    vm_id: "a-1",
    zone: "zone-a",
    event: "platform_lost",
    reason: "timeout",
  });
  t.end();
});

t.test("should leave out events below the level of the settings", (t) => {
  const { log, lines } = capture("warn");
  logEvent(log, { event: "peer_back", peer_vm_id: "b-1" });
  t.same(lines, []);
  t.end();
});

t.test("should keep names in snake case, with a unit for times, since outside tools select by them", (t) => {
  for (const [event, { fields }] of Object.entries(LOG_EVENTS)) {
    for (const name of [event, ...Object.keys(fields)]) {
      t.match(name, /^[a-z][a-z_]*[a-z]$/);
      if (/time|elapsed|pause$|interval/.test(name) && name !== event) {
        t.match(name, UNITS);
      }
    }
  }
  t.end();
});

t.test("should log one summary for many refusals, so that overload does not flood the log", async (t) => {
  const { log, lines } = capture();
  let counts: Readonly<Record<string, number>> = {};
  const summary = new RefusalSummary({
    log,
    counts: () => counts,
    intervalMs: 20,
  });
  counts = { queue_full: 1_000, deadline: 1 };
  await waitFor(() => lines.length > 0, { what: "summary" });
  t.match(lines, [{
    event: "requests_not_answered",
    requests: 1_001,
    by_reason: { queue_full: 1_000, deadline: 1 },
  }]);
  counts = { queue_full: 1_000, deadline: 1, shed: 2 };
  await summary.close();
  await summary.close();
  t.equal(lines.length, 2, "quiet without new refusals");
  t.same(lines[1]!.by_reason, { shed: 2 }, "only what was added");
});

/** After a change of `LOG_EVENTS`, run this test with TANAGERCOVE_WRITE_DOCS=1 to update the operators' page. */
t.test("should agree with the events in the operators' page", (t) => {
  const page = readFileSync(OPERATORS_PAGE, "utf8");
  const [before, rest = ""] = page.split(REFERENCE_START);
  const [, after] = rest.split(REFERENCE_END);
  const expected =
    `${before}${REFERENCE_START}${eventsReference()}${REFERENCE_END}${after}`;
  if (process.env.TANAGERCOVE_WRITE_DOCS === "1") {
    writeFileSync(OPERATORS_PAGE, expected);
  }
  t.equal(readFileSync(OPERATORS_PAGE, "utf8"), expected);
  t.end();
});

// Ejections must not flood the log when many VMs fail at once.
t.test("should write at most 20 lines in 10 s and count the others", (t) => {
  let nowMs = 0;
  const limit = new LineLimit({ nowMs: () => nowMs });
  const suppressedCounts = Array.from({ length: 50 }, () => limit.take());
  t.equal(suppressedCounts.filter((suppressed) => suppressed === 0).length, 20);
  nowMs = 10_000;
  t.equal(limit.take(), 30);
  t.equal(limit.take(), 0);
  t.end();
});

// Requests must not wait for a log collector that has stopped reading.
t.test("should drop and count lines rather than wait for a reader that stalls", async (t) => {
  const reader = spawn(
    process.execPath,
    ["-e", "setTimeout(() => {}, 60_000)"],
    {
      stdio: ["pipe", "ignore", "ignore"],
    },
  );
  t.teardown(() => reader.kill());
  const { fd } =
    (reader.stdin as unknown as { _handle: { fd: number } })._handle;
  const logger = createBoundedLogger({ vmId: "a-1", zone: "zone-a", fd });
  const startedMs = performance.now();
  for (let i = 0; i < 20_000; i += 1) {
    logEvent(logger.log, { event: "peer_back", peer_vm_id: `b-${i}` });
  }
  const elapsedMs = performance.now() - startedMs;
  t.ok(logger.droppedLines > 1_000, `${logger.droppedLines} dropped`);
  t.ok(elapsedMs < 2_000, `${elapsedMs} ms`);
  const closingMs = performance.now();
  await logger.close();
  t.ok(performance.now() - closingMs < 1_000, "close waits only briefly");
});
