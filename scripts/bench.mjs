// Usage: node scripts/bench.mjs NAME [OPTIONS]: builds, then runs a bench.
import { spawnSync } from "node:child_process";

await import("./build.mjs");
const run = spawnSync(
  process.execPath,
  ["dist/bench.cjs", ...process.argv.slice(2)],
  { stdio: "inherit" },
);
process.exitCode = run.status ?? 1;
