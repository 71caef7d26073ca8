/** Writes one result as a JSON line on standard output. */
export function writeResult(result: Readonly<Record<string, unknown>>): void {
  process.stdout.write(`${JSON.stringify(result)}\n`);
}

/** Writes a progress line on standard error, apart from the results. */
export function writeProgress(text: string): void {
  process.stderr.write(`${text}\n`);
}
