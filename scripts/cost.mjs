// Usage: node scripts/cost.mjs [--program PATH ...] [OPTIONS]: measures the processor time of sidecars, by default of the
// present code, with the Node arguments of the deploy file. Give the programs of two builds to compare them.
import { spawnSync } from "node:child_process";
import { readFileSync } from "node:fs";
import { build } from "esbuild";
import { buildSidecar } from "./build_sidecar.mjs";
import { workspaceAliases } from "./workspace_aliases.mjs";

const [, nodeArgs] = /^run = "node (.*) target\/sidecar\.cjs"/m.exec(
  readFileSync("deploy/system.toml", "utf8"),
);
const args = process.argv.slice(2);
if (!args.includes("--program")) {
  await buildSidecar();
  args.push("--program", "target/sidecar.cjs");
}
if (!args.includes("--node-args")) args.push(`--node-args=${nodeArgs}`);
await build({
  entryPoints: ["platform/cost_main.ts"],
  outfile: "build/cost.mjs",
  bundle: true,
  packages: "external",
  alias: workspaceAliases(),
  platform: "node",
  target: "node20",
  format: "esm",
  logLevel: "warning",
});
const { status } = spawnSync(process.execPath, ["build/cost.mjs", ...args], {
  stdio: "inherit",
});
process.exitCode = status ?? 1;
