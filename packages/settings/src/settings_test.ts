import { readFileSync, writeFileSync } from "node:fs";
import fc from "fast-check";
import t from "tap";
import {
  exampleSettings,
  formatSettingsProblem,
  parseSettings,
  settingsReference,
} from "./index.ts";

const SEED = 20_261_204;
const EXAMPLE = "docs/example.ini";
const REFERENCE = "docs/settings.md";
const REFERENCE_START = "<!-- generated from the key table -->\n\n";

function problemsOf(text: string): readonly string[] {
  const settings = parseSettings(text);
  return settings.isErr ? settings.error.map(formatSettingsProblem) : [];
}

/** Returns the example settings with `line` at the start of the section, replacing the key's own line if it has one. */
function exampleWith(section: string, line: string): string {
  const key = line.split("=")[0]!.trim();
  const head = `[${section}]\n`;
  const [before, after] = exampleSettings().split(head) as [string, string];
  const cut = after.replace(new RegExp(`^${key} = .*\n`, "m"), "");
  return `${before}${head}${line}\n${cut}`;
}

t.test("should derive defaults from other keys and leave keys that `weight` sets undefined", (t) => {
  const settings = parseSettings(exampleSettings()).unwrapOrElse((problems) => {
    throw new Error(problems.map(formatSettingsProblem).join("\n"));
  });
  t.equal(settings.daemon.callerAddress, settings.daemon.address);
  t.equal(settings.upstream.queueLength, 4 * settings.upstream.slots);
  t.equal(settings.distribution.fanOut, undefined);
  t.equal(settings.distribution.digestIntervalMs, undefined);
  t.same(settings.requests.trustedCallers, [
    { address: "127.0.0.0", prefixBits: 8 },
  ]);
  t.end();
});

t.test("should read zero, lists and quoted values as written", (t) => {
  const text = exampleWith("distribution", "fan_out = 0")
    .replace("[peers]", "[peers]\nseeds = 127.24.0.1:81, [::1]:82 # two")
    .replace("zone = zone-a", 'zone = "true"');
  const settings = parseSettings(text).unwrapOr(undefined);
  t.equal(settings?.distribution.fanOut, 0);
  t.equal(settings?.daemon.zone, "true");
  t.same(settings?.peers.seeds, [
    { address: "127.24.0.1", port: 81 },
    { address: "::1", port: 82 },
  ]);
  t.end();
});

// Guards against a daemon that starts with TLS files that all peers reject.
t.test("should report missing and unusable TLS files together with other problems", (t) => {
  const text = exampleWith(
    "peers",
    "tls = required\ntls_ca_file = ca.pem\ntls_certificate_file = /own.pem",
  ).replace("zone = zone-a", "zone = ?");
  const problems = parseSettings(text, {
    checkKeyFiles: ({ vmId, address, certificateFile }) => [
      { file: "keyFile", message: "not shown, since it is missing" },
      {
        file: "certificateFile",
        message: `Expected ${vmId} and ${address} in ${certificateFile}`,
      },
    ],
  });
  t.same(
    problems.isErr &&
      problems.error.map(({ section, key, value, message }) =>
        `${section} ${key} ${value}: ${message}`
      ),
    [
      "daemon zone ?: Expected [a-z0-9][a-z0-9_.-]{0,62}",
      "peers tls_ca_file ca.pem: Expected an absolute path",
      "peers tls_certificate_file /own.pem: Expected swatches-1 and 127.0.0.1 in /own.pem",
      "peers tls_key_file : Expected an absolute path, because `tls` is `required`",
    ],
  );
  t.same(problemsOf(exampleWith("peers", "tls = off")), []);
  t.end();
});

t.test("should report all problems at once, so that one run shows every mistake", (t) => {
  const text = exampleSettings()
    .replace("caller_port = 8080", "caller_port = 99999")
    .replace("zone = zone-a", "zonne = zone-a")
    .replace("[logs]", "[loggs]\nlevel = info\n[logs]\nlevel = loud");
  const problems = problemsOf(text).map((line) =>
    line.replace(/\(line \d+\)/, "(line N)")
  );
  t.same(problems, [
    "[daemon] zonne = zone-a (line N): Unknown key; the nearest known one is [daemon] zone",
    "[daemon] caller_port = 99999 (line N): Expected a whole number from 1 to 65535",
    "[loggs] level = info (line N): Unknown section; the nearest known one is [logs]",
    "[logs] level = loud (line N): Expected debug | info | warn | error",
    "[daemon] zone: Missing; expected [a-z0-9][a-z0-9_.-]{0,62}",
  ]);
  t.end();
});

/** Invalid lines, many of which the `ini` library would silently misread, with a part of the expected error. */
const REJECTED_LINES = [
  { section: "daemon", line: "__proto__ = 1", says: "Unknown key" },
  { section: "daemon", line: "constructor = 1", says: "Unknown key" },
  { section: "peers", line: "seeds[] = 127.24.0.1:1", says: "Unknown key" },
  { section: "daemon", line: "drain_timeout_ms", says: "key = value" },
  { section: "daemon", line: "= 3", says: "key = value" },
  { section: "logs", line: "level = info\nlevel = warn", says: "already has" },
  {
    section: "logs",
    line: "level = info\n[__proto__]\na = 1",
    says: "section",
  },
  {
    section: "logs",
    line: "level = info\n[logs.level]\na = 1",
    says: "section",
  },
  { section: "logs", line: 'level = "info" # b', says: "JSON string" },
  { section: "upstream", line: "slots = '010'", says: "double quotes" },
  { section: "upstream", line: "slots = 1e1", says: "from 1 to 10000" },
  { section: "upstream", line: "slots = -1", says: "from 1 to 10000" },
  { section: "upstream", line: "slots =", says: "from 1 to 10000" },
  { section: "upstream", line: "slots = null", says: "from 1 to 10000" },
  { section: "platform", line: "url = http://a:1/b", says: "without path" },
  { section: "platform", line: "url = http://a:1#b", says: "space before" },
  { section: "peers", line: "seeds = 127.24.0.1", says: "IP:PORT" },
  {
    section: "requests",
    line: "trusted_callers = 10.0.0.0/33",
    says: "IP/BITS",
  },
  { section: "requests", line: "trusted_callers =", says: "at least one" },
  { section: "requests", line: "identity = signed", says: "Expected a key" },
  { section: "daemon", line: "peer_port = 8080", says: "[daemon] caller_port" },
  {
    section: "upstream",
    line: "connections = 3",
    says: "`slots`, which is 10",
  },
  { section: "upstream", line: "health_timeout_ms = 2000", says: "is 1000" },
];

t.test("should report exactly one problem for each invalid line", (t) => {
  for (const { section, line, says } of REJECTED_LINES) {
    const problems = problemsOf(exampleWith(section, line));
    t.equal(problems.length, 1, `one problem for ${JSON.stringify(line)}`);
    t.match(problems[0], says, line);
  }
  t.end();
});

t.test("should never show a customer key, even under a misspelt name", (t) => {
  for (
    const line of [
      "customer_key = short",
      "customer_key = secret;secret",
      "customer_keys = secret-secret-secret",
    ]
  ) {
    const shown = problemsOf(exampleWith("requests", line)).join("\n");
    t.match(shown, "(hidden)");
    t.notMatch(shown, /secret|short/);
  }
  t.end();
});

t.test("should return settings or problems for any text, and never throw", (t) => {
  const line = fc.oneof(
    fc.string({ unit: "binary" }),
    fc.constantFrom(...exampleSettings().split("\n")),
    fc.string().map((value) => `customer_key = "${value}`),
  );
  fc.assert(
    fc.property(fc.array(line), (lines) => {
      const settings = parseSettings(lines.join("\n"));
      return settings.isOk || settings.error.length > 0;
    }),
    { seed: SEED, numRuns: 500 },
  );
  t.comment(`seed ${SEED}`);
  t.end();
});

/** With TANAGERCOVE_WRITE_DOCS=1, this test first rewrites both pages, as needed after a change of the key table. */
t.test("should agree with the reference and the example in docs", (t) => {
  const [intro] = readFileSync(REFERENCE, "utf8").split(REFERENCE_START);
  const reference = `${intro}${REFERENCE_START}${settingsReference()}`;
  if (process.env.TANAGERCOVE_WRITE_DOCS === "1") {
    writeFileSync(REFERENCE, reference);
    writeFileSync(EXAMPLE, exampleSettings());
  }
  t.equal(readFileSync(REFERENCE, "utf8"), reference);
  t.equal(readFileSync(EXAMPLE, "utf8"), exampleSettings());
  t.end();
});
