import t from "tap";
import { waitFor } from "@tanagercove/test_helpers";
import { createLogger, LOG_EVENTS, logEvent, RefusalSummary } from "./index.ts";

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

t.test("should keep names in snake case with a unit, since outside tools select by them", (t) => {
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
  const summary = new RefusalSummary(log, { intervalMs: 20 });
  for (let i = 0; i < 1_000; i++) summary.add("queue_full");
  summary.add("deadline");
  await waitFor(() => lines.length > 0, { what: "summary" });
  t.match(lines, [{
    event: "requests_refused",
    refused: 1_001,
    by_reason: { queue_full: 1_000, deadline: 1 },
  }]);
  summary.add("shed");
  summary.close();
  t.match(lines[1], { by_reason: { shed: 1 } }, "the rest is logged at close");
});
