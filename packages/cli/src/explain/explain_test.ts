import { writeFileSync } from "node:fs";
import { join } from "node:path";
import t, { type Test } from "tap";
import { runProgram } from "../program.ts";

const ENDED = {
  level: "warn",
  time_ms: 1_000,
  vm_id: "a-1",
  zone: "a",
  event: "request_ended",
  request_id: "r1",
  outcome: "busy",
  status: 503,
  attempts: [{ upstream_id: "u2", reason: "busy" }, { upstream_id: "u1" }],
};
const FORWARDED_TO_U1 = {
  ...ENDED,
  event: "forwarded_request_ended",
  upstream_id: "u1",
  vm_id: "b-1",
  time_ms: 500,
  attempts: undefined,
};
const FORWARDED_TO_U2 = {
  ...FORWARDED_TO_U1,
  upstream_id: "u2",
  vm_id: "b-2",
  time_ms: 2_000,
};
const CALL = {
  ...FORWARDED_TO_U1,
  request_id: "r1.c1",
  vm_id: "c-1",
  time_ms: 900,
};

function writeLog(t: Test, ...lines: readonly unknown[]): string {
  const path = join(t.testdir({}), "daemon.log");
  const text = lines.map((line) =>
    typeof line === "string" ? line : JSON.stringify(line)
  );
  writeFileSync(path, text.join("\n"));
  return path;
}

const explain = (...args: readonly string[]) =>
  runProgram(["explain", ...args]);

t.test("should order the steps of a request correctly even if the clocks of the VMs disagree", async (t) => {
  const path = writeLog(
    t,
    ENDED,
    FORWARDED_TO_U1,
    "noise",
    `12.5 a-1 ${JSON.stringify(FORWARDED_TO_U2)}`,
    CALL,
    {
      ...ENDED,
      request_id: "r10",
    },
  );
  const end = await explain("--id", "r1", "--json", path);
  const lines = JSON.parse(end.output![0]!) as { vmId: string }[];
  t.same(lines.map(({ vmId }) => vmId), ["c-1", "b-2", "b-1", "a-1"]);
  const text = (await explain("--id", "r1", path)).output!.join("\n");
  t.match(text, /a-1 {2}request_ended {2}r1\n.*outcome=busy status=503/);
  t.match(text, /attempt 1: upstream_id=u2 reason=busy/);
});

t.test("should report an id that no file contains, and a file that is not a log", async (t) => {
  const missing = await explain("--id", "r2", writeLog(t, ENDED));
  t.equal(missing.exitCode, 1);
  t.match(missing.errors![0], /No line on request "r2"/);
  const other = await explain("--id", "r1", writeLog(t, "no log", "{}"));
  t.equal(other.exitCode, 2);
  t.match(other.errors![0], /has no log lines/);
  t.equal((await explain("--id", "r1", "/no/such/file")).exitCode, 2);
  t.equal((await explain("--id", "r1")).exitCode, 2);
});
