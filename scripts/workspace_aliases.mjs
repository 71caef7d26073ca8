import { readdirSync } from "node:fs";

/** Aliases for esbuild that lead from each package of the workspace to its source. */
export function workspaceAliases() {
  return Object.fromEntries(
    readdirSync("packages").map((name) => [
      `@tanagercove/${name}`,
      `./packages/${name}/src/index.ts`,
    ]),
  );
}
