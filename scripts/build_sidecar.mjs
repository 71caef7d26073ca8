// Usage: node scripts/build_sidecar.mjs: builds the sidecar as one file, target/sidecar.cjs.
import { build } from "esbuild";
import { readFile } from "node:fs/promises";
import { fileURLToPath } from "node:url";

const pkg = JSON.parse(
  await readFile(new URL("../package.json", import.meta.url), "utf8"),
);

/**
 * The histogram library creates a number format when it is loaded, which reads the data of all languages: a tenth of the
 * processor time of a start. This creates it at its first use, which no sidecar makes.
 */
const lazyNumberFormat = {
  name: "lazy-number-format",
  setup({ onLoad }) {
    onLoad(
      { filter: /hdr-histogram-js\/dist\/formatters\.js$/ },
      async ({ path }) => {
        const source = await readFile(path, "utf8");
        const contents = source
          .replace(
            "const numberFormatter = new Intl",
            "let numberFormatter;\n    const create = () => new Intl",
          )
          .replace(
            "numberFormatter.format(",
            "(numberFormatter ??= create()).format(",
          );
        if (
          !contents.includes("??= create()") ||
          !contents.includes("const create")
        ) {
          throw new Error(`Expected a number format in ${path}`);
        }
        return { contents };
      },
    );
  },
};

/** Builds the sidecar as one file. */
export async function buildSidecar(
  { outfile = "target/sidecar.cjs", plugins = [] } = {},
) {
  await build({
    entryPoints: ["platform/main.ts"],
    outfile,
    plugins: [lazyNumberFormat, ...plugins],
    bundle: true,
    minify: true,
    platform: "node",
    target: "node20",
    // Node starts a CommonJS file with less processor time and memory than a module.
    format: "cjs",
    define: { TANAGERCOVE_VERSION: JSON.stringify(pkg.version) },
    logLevel: "warning",
  });
}

if (process.argv[1] === fileURLToPath(import.meta.url)) await buildSidecar();
