import { build } from "esbuild";
import { readFile } from "node:fs/promises";

const pkg = JSON.parse(
  await readFile(new URL("../package.json", import.meta.url), "utf8"),
);

const entryPoints = {
  tanagercove: "packages/cli/src/main.ts",
  emulator: "packages/emulator/src/main.ts",
  "check-configuration": "platform/check_main.ts",
  bench: "packages/bench/src/main.ts",
  policies: "packages/bench/src/policies/main.ts",
};

await build({
  entryPoints,
  outdir: "dist",
  outExtension: { ".js": ".cjs" },
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  sourcemap: "linked",
  define: { TANAGERCOVE_VERSION: JSON.stringify(pkg.version) },
  logLevel: "warning",
});
