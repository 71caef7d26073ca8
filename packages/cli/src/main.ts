import { runProgram } from "./program.ts";

void main();

async function main(): Promise<void> {
  const result = await runProgram(process.argv.slice(2));
  await writeLines(process.stdout, result.output);
  await writeLines(process.stderr, result.errors);
  process.exit(result.exitCode);
}

/** Waits until all lines are written, because `process.exit` drops what is still buffered for a pipe. */
async function writeLines(
  stream: NodeJS.WriteStream,
  lines: readonly string[] = [],
): Promise<void> {
  if (lines.length === 0) return;
  stream.on("error", () => {});
  await new Promise<void>((resolve) =>
    stream.write(`${lines.join("\n")}\n`, () => resolve())
  );
}
