// Usage: node scripts/build_binary.mjs: builds the program as one file, dist/tanagercove, which needs no Node.js.
import { execFileSync } from "node:child_process";
import {
  chmodSync,
  copyFileSync,
  mkdirSync,
  readFileSync,
  renameSync,
  writeFileSync,
} from "node:fs";
import { build } from "esbuild";
import { inject } from "postject";

const FOLDER = "build/binary";
const BUNDLE = `${FOLDER}/tanagercove.cjs`;
const CONFIG = `${FOLDER}/sea.json`;
const BLOB = `${FOLDER}/sea.blob`;
const UNFINISHED_BINARY = `${FOLDER}/tanagercove`;
const BINARY = "dist/tanagercove";
// Node.js looks for this marker to detect whether a program was injected into its binary.
const SENTINEL_FUSE = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";

process.chdir(new URL("..", import.meta.url).pathname);
mkdirSync(FOLDER, { recursive: true });
mkdirSync("dist", { recursive: true });
const { version } = JSON.parse(readFileSync("package.json", "utf8"));

await build({
  entryPoints: ["packages/cli/src/main.ts"],
  outfile: BUNDLE,
  bundle: true,
  platform: "node",
  target: "node20",
  format: "cjs",
  define: { TANAGERCOVE_VERSION: JSON.stringify(version) },
  logLevel: "warning",
});
writeFileSync(
  CONFIG,
  JSON.stringify({
    main: BUNDLE,
    output: BLOB,
    disableExperimentalSEAWarning: true,
  }),
);
execFileSync(process.execPath, ["--experimental-sea-config", CONFIG], {
  stdio: ["ignore", "ignore", "inherit"],
});
copyFileSync(process.execPath, UNFINISHED_BINARY);
chmodSync(UNFINISHED_BINARY, 0o755);
await inject(UNFINISHED_BINARY, "NODE_SEA_BLOB", readFileSync(BLOB), {
  sentinelFuse: SENTINEL_FUSE,
});
// Renaming does not touch the file of an old binary that is still running.
renameSync(UNFINISHED_BINARY, BINARY);
console.log(`${BINARY}: version ${version} on Node.js ${process.version}`);
