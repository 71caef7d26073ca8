// Usage: node scripts/build_sidecar.mjs: builds the sidecar as one file, target/sidecar.mjs.
import { build } from "esbuild";
import { readFile } from "node:fs/promises";
import { fileURLToPath } from "node:url";

const pkg = JSON.parse(
  await readFile(new URL("../package.json", import.meta.url), "utf8"),
);

/** Builds the sidecar as one file. */
export async function buildSidecar(
  { outfile = "target/sidecar.mjs", plugins = [] } = {},
) {
  await build({
    entryPoints: ["platform/main.ts"],
    outfile,
    plugins,
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
}

if (process.argv[1] === fileURLToPath(import.meta.url)) await buildSidecar();
