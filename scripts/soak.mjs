// Usage: node scripts/soak.mjs [--help | OPTIONS]: builds the sidecar and the soak, and injects faults into running sidecars.
import { spawnSync } from "node:child_process";
import { fileURLToPath } from "node:url";
import { build } from "esbuild";
import { buildSidecar } from "./build_sidecar.mjs";
import { workspaceAliases } from "./workspace_aliases.mjs";

/** Builds the soak program as one file. */
export async function buildSoak(
  { outfile = "build/soak.mjs", plugins = [] } = {},
) {
  await build({
    entryPoints: ["platform/soak_main.ts"],
    outfile,
    plugins,
    bundle: true,
    packages: "external",
    alias: workspaceAliases(),
    platform: "node",
    target: "node20",
    format: "esm",
    logLevel: "warning",
  });
}

if (process.argv[1] === fileURLToPath(import.meta.url)) {
  await buildSidecar();
  await buildSoak();
  const { status } = spawnSync(
    process.execPath,
    ["build/soak.mjs", "target/sidecar.cjs", ...process.argv.slice(2)],
    { stdio: "inherit" },
  );
  process.exitCode = status ?? 1;
}
