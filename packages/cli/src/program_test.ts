import { spawnSync } from "node:child_process";
import { readFileSync, writeFileSync } from "node:fs";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { join } from "node:path";
import t, { type Test } from "tap";
import type { DaemonSummary } from "@tanagercove/daemon";
import { createCertificateAuthority } from "@tanagercove/emulator";
import { openKeyFiles } from "@tanagercove/test_helpers";
import { runProgram } from "./program.ts";

/** Writes files into the test's folder and returns their paths by name. */
function writeFiles(
  t: Test,
  contents: Readonly<Record<string, string | Buffer>>,
) {
  const folder = t.testdir({});
  return Object.fromEntries(
    Object.entries(contents).map(([name, content]) => {
      const path = join(folder, name);
      writeFileSync(path, content);
      return [name, path];
    }),
  );
}

async function run(...args: readonly (string | undefined)[]) {
  const end = await runProgram(args as readonly string[]);
  return {
    exitCode: end.exitCode,
    output: (end.output ?? []).join("\n"),
    errors: (end.errors ?? []).join("\n"),
  };
}

/** Starts a fake operators' port that answers every path with the same body; returns its `IP:PORT`. */
async function startFakeOperatorsPort(t: Test, body: unknown): Promise<string> {
  const server = createServer((_, response) =>
    response.end(typeof body === "string" ? body : JSON.stringify(body))
  );
  await new Promise<void>((done) => server.listen(0, "127.24.4.1", done));
  t.teardown(() => {
    server.close();
    server.closeAllConnections();
  });
  return `127.24.4.1:${(server.address() as AddressInfo).port}`;
}

function daemon(fields: Partial<DaemonSummary>): DaemonSummary {
  return {
    vm_id: "a-1",
    zone: "zone-a",
    region: "r",
    service: "s",
    state: "serving",
    program_version: "test",
    uptime_ms: 1,
    revision: 12,
    hash: "aaaaaaaaaaaa",
    floor_unconfirmed: false,
    refused: [],
    ...fields,
  };
}

t.test("should exit with 2 on wrong usage, so that scripts can tell it from a bad list", async (t) => {
  const wrong: readonly (readonly string[])[] = [
    [],
    ["chek"],
    ["check"],
    ["check", "--plan", "a"],
    ["run"],
    ["status"],
    ["status", "--operator", "localhost"],
    ["dump", "--operator", "127.0.0.1:1", "--settings", "a"],
  ];
  for (const args of wrong) {
    const { exitCode, output, errors } = await run(...args);
    t.equal(exitCode, 2, args.join(" "));
    t.equal(output, "");
    t.not(errors, "");
  }
});

t.test("should print the version, and help with an example for run, check, status and dump", async (t) => {
  t.same(await run("--version"), { exitCode: 0, output: "test", errors: "" });
  for (const name of ["run", "check", "status", "dump"]) {
    const { exitCode, output } = await run(name, "--help");
    t.equal(exitCode, 0);
    t.match(output, new RegExp(`\\$ tanagercove ${name} --`));
  }
});

t.test("should report why a file cannot be read, without a stack trace", async (t) => {
  const { binary, large } = writeFiles(t, {
    binary: Buffer.from([0x80, 0xff]),
    large: Buffer.alloc(1_000_001, "#"),
  });
  const reasons = [
    { path: "/nowhere/plans", reason: /no such file$/ },
    { path: "/", reason: /it is a directory$/ },
    { path: binary, reason: /not UTF-8 text$/ },
    { path: large, reason: /1000001 bytes, expected at most 1000000$/ },
  ];
  for (const { path, reason } of reasons) {
    for (const option of ["--plans", "--settings"]) {
      const { exitCode, errors } = await run("check", option, path);
      t.equal(exitCode, 2);
      t.match(errors, reason);
    }
  }
});

t.test("should report all problems of both lists with file and line", async (t) => {
  const { plans, allowances } = writeFiles(t, {
    plans: "# customers\nperth = basic\nperth = full\noban\n",
    allowances: "basic = swatches\n\nfull = Venues\n",
  });
  const { exitCode, errors } = await run(
    ...["check", "--plans", plans, "--allowances", allowances],
  );
  t.equal(exitCode, 1);
  const locations = errors.split("\n").map((line) => line.split(": ")[0]);
  t.same(locations, [`${plans}:3`, `${plans}:4`, `${allowances}:3`]);
});

t.test("should warn about a plan without an allowance, and still accept the lists", async (t) => {
  const { plans, allowances } = writeFiles(t, {
    plans: "perth = basic\noban = gold\nskye = gold\n",
    allowances: "basic = swatches\n",
  });
  const both = await run(
    ...["check", "--plans", plans, "--allowances", allowances],
  );
  t.equal(both.exitCode, 0);
  t.equal(
    both.errors,
    `${plans}:2: warning: Plan "gold" is not in allowances; requests of 2 customer(s) on it are refused`,
  );
  const one = await run("check", "--plans", plans);
  t.same([one.exitCode, one.errors], [0, ""], "no warning without allowances");
});

t.test("should accept the example settings and exit with 2 on wrong ones", async (t) => {
  t.equal((await run("check", "--settings", "docs/example.ini")).exitCode, 0);
  const { wrong } = writeFiles(t, { wrong: "[daemon]\nvm_id = A\n" });
  const { exitCode, errors } = await run("check", "--settings", wrong);
  t.equal(exitCode, 2);
  t.match(errors, /\[daemon\] vm_id = A \(line 2\): Expected \[a-z0-9\]/);
  t.match(errors, /\[upstream\] port: Missing/);
});

t.test("should check the TLS files that the settings name", async (t) => {
  const authority = await createCertificateAuthority();
  const { files: keyFiles, trust, issue } = openKeyFiles(t, {
    vmId: "swatches-1",
    addresses: ["127.0.0.1"],
    authority,
  });
  trust(authority);
  await issue();
  const example = readFileSync("docs/example.ini", "utf8");
  const { settings } = writeFiles(t, {
    settings: example.replace(
      "[peers]\n",
      [
        "[peers]",
        "tls = required",
        `tls_ca_file = ${keyFiles.caFile}`,
        `tls_certificate_file = ${keyFiles.certificateFile}`,
        `tls_key_file = ${keyFiles.keyFile}`,
        "",
      ].join("\n"),
    ),
  });
  t.match(await run("check", "--settings", settings), { exitCode: 0 });
  await issue({ vmId: "other", addresses: ["127.0.0.2"], validForMs: -1_000 });
  writeFileSync(keyFiles.caFile, "nothing");
  const { exitCode, errors } = await run("check", "--settings", settings);
  t.equal(exitCode, 2);
  const line = (key: string) =>
    String.raw`\[peers\] ${key} = \S+ \(line \d+\): `;
  t.match(errors, new RegExp(`${line("tls_ca_file")}Expected at least one CA`));
  for (
    const expected of [
      "a certificate that is valid now",
      "the IP address 127.0.0.1",
      "the URI",
    ]
  ) {
    t.match(
      errors,
      new RegExp(`${line("tls_certificate_file")}Expected ${expected}`),
    );
  }
});

t.test("should show versions by zone, daemons with a problem, refused versions and missing daemons", async (t) => {
  const refused = { revision: 13, hash: "b", reason: "plans:3: \x1b[2Jbad" };
  const old = { revision: 9, hash: "c", reason: "replaced since" };
  const operator = await startFakeOperatorsPort(t, {
    asked_by: "a-1",
    daemons: [
      daemon({ refused: [old, refused] }),
      daemon({ vm_id: "a-2", refused: [refused] }),
      daemon({ vm_id: "b-1", zone: "zone-b", revision: 11 }),
      daemon({ vm_id: "b-2", zone: "zone-b", hash: "other" }),
      daemon({ vm_id: "b-3", zone: "zone-b", state: "draining" }),
    ],
    missing: [{
      vm_id: "c-1",
      zone: "zone-c",
      address: "127.24.4.9",
      peer_port: 81,
      reason: "No response within 1000 ms",
    }],
  });
  const { exitCode, output } = await run("status", "--operator", operator);
  t.equal(exitCode, 1);
  t.equal(
    output,
    [
      "Revision 12 in force on 4 of 6 daemons known to a-1",
      "",
      "REVISION  HASH      ZONE    DAEMONS",
      "12        aaaaaaaa  zone-a  2",
      "12        other     zone-b  1",
      "12        aaaaaaaa  zone-b  1",
      "11        aaaaaaaa  zone-b  1",
      "",
      "Daemons with a problem (3):",
      "  zone-b b-1: It holds 11, the newest is 12",
      "  zone-b b-2: It holds other content of revision 12 than a-1",
      "  zone-b b-3: It is draining",
      "",
      "Refused versions (1):",
      "  revision 13 on 2 daemons: plans:3: ?[2Jbad",
      "",
      "Daemons missing from this answer (1):",
      "  zone-c c-1 127.24.4.9:81: No response within 1000 ms",
    ].join("\n"),
  );
});

t.test("should exit with 0 and write JSON when all daemons hold the newest version", async (t) => {
  const operator = await startFakeOperatorsPort(t, {
    asked_by: "a-1",
    daemons: [daemon({}), daemon({ vm_id: "a-2", floor_unconfirmed: true })],
    missing: [],
  });
  const { exitCode, output } = await run(
    ...["status", "--operator", operator, "--json"],
  );
  t.equal(exitCode, 0);
  t.match(JSON.parse(output), { good: true, newest_in_force_on: 2 });
  const dump = await run("dump", "--operator", operator);
  t.match([dump.exitCode, JSON.parse(dump.output)], [0, { asked_by: "a-1" }]);
});

t.test("should report a daemon whose version no other daemon confirmed when it started, since it may be outdated", async (t) => {
  const operator = await startFakeOperatorsPort(t, {
    asked_by: "a-1",
    daemons: [daemon({ floor_unconfirmed: true })],
    missing: [],
  });
  const { exitCode, output } = await run("status", "--operator", operator);
  t.equal(exitCode, 1);
  t.match(output, "zone-a a-1: No other daemon confirmed its version");
});

t.test("should exit with 1 when the port returns no usable response", async (t) => {
  for (const body of ["<html>", "{}", "null", '{"asked_by":"a"}']) {
    const operator = await startFakeOperatorsPort(t, body);
    const { exitCode, errors } = await run("status", "--operator", operator);
    t.equal(exitCode, 1);
    t.match(errors, /not JSON|Malformed status/);
  }
  const { exitCode, errors } = await run("dump", "--operator", "127.24.4.2:9");
  t.equal(exitCode, 1);
  t.match(errors, "No usable response from 127.24.4.2:9: ");
});

t.test("should write all output to a pipe before it exits", (t) => {
  const lines = Array.from({ length: 20_000 }, (_, i) => `bad line ${i}`);
  const { plans } = writeFiles(t, { plans: lines.join("\n") });
  const program = spawnSync(process.execPath, [
    "dist/tanagercove.cjs",
    "check",
    "--plans",
    plans!,
  ], { encoding: "utf8", maxBuffer: 64 * 1024 * 1024 });
  t.equal(program.status, 1);
  t.equal(program.stderr.trimEnd().split("\n").length, lines.length);
  t.end();
});
