// Usage: node scripts/build_sidecar.mjs: builds the sidecar as one file, target/sidecar.mjs.
import { build } from "esbuild";
import { readFile } from "node:fs/promises";

const pkg = JSON.parse(
  await readFile(new URL("../package.json", import.meta.url), "utf8"),
);

await build({
  entryPoints: ["platform/main.ts"],
  outfile: "target/sidecar.mjs",
  bundle: true,
  minify: true,
  platform: "node",
  target: "node20",
  format: "esm",
  banner: {
    js:
      'import{createRequire}from"node:module";const require=createRequire(import.meta.url);',
  },
  define: { TANAGERCOVE_VERSION: JSON.stringify(pkg.version) },
  logLevel: "warning",
});
