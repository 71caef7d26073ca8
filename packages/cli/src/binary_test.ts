import { execFileSync, spawnSync } from "node:child_process";
import { readFileSync } from "node:fs";
import t from "tap";

const BINARY = "dist/tanagercove";

t.test("should build a single executable that runs in an empty environment", (t) => {
  execFileSync(process.execPath, ["scripts/build_binary.mjs"]);
  const run = (...args: readonly string[]) =>
    spawnSync(BINARY, args, { encoding: "utf8", env: {} });
  const { version } = JSON.parse(readFileSync("package.json", "utf8"));
  t.match(run("--version"), { status: 0, stdout: `${version}\n`, stderr: "" });
  t.match(run("check", "--settings", "docs/example.ini"), {
    status: 0,
    stdout: "docs/example.ini: good\n",
    stderr: "",
  });
  t.equal(run("check", "--plans", "/nowhere").status, 2);
  t.end();
});
