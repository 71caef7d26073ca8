/** Options of `checkFaultMatrix`. */
export interface CheckFaultMatrixOptions {
  /** Text of the page with the matrix and the list of tests. */
  readonly markdown: string;
  /** Returns the source of a test file, or undefined if there is none. */
  readonly readFile: (path: string) => string | undefined;
}

/** Rows of the matrix. */
export const FAULTS = [
  "daemon killed",
  "many daemons return at once",
  "platform outage",
  "platform stale",
  "updates crossing",
  "process paused",
  "zone cut from zone",
  "zone cut from platform",
  "silent connection",
  "upstream killed",
  "upstream frozen",
  "upstream lying about health or load",
  "two faults together",
] as const;

/** Columns of the matrix. It has two tables: one for the steps of a request, one for the steps of a published change. */
export const STEPS = {
  request: [
    "resolve",
    "choose",
    "connect",
    "send",
    "wait",
    "answer",
    "retry",
    "drain",
  ],
  change: ["publish", "watch", "read", "push", "digest", "apply", "join"],
} as const;

const NOT_PROVED = "not proved";
const TEST_REFERENCE = /^`([^`:]+_test\.ts): ([^`]+)`$/;

/**
 * Titles of tests that run, as written in the source; skipped and todo tests do not count. `faultTest` and
 * `requestFaultTest` run a test in a mesh of real processes.
 */
const TEST_TITLE =
  /(?:\.test|\b(?:faultTest|requestFaultTest))\(\s*(?:"((?:[^"\\]|\\.)*)"|`((?:[^`\\]|\\.)*)`)(?!\s*,\s*\{[^}]*\b(?:skip|todo)\b)/g;

type Table = readonly (readonly string[])[];

/**
 * Returns the problems of a fault matrix: missing rows, columns or cells, keys
 * without a test, unused keys, and tests that do not exist. The list is empty if the matrix is good.
 */
export function checkFaultMatrix(
  { markdown, readFile }: CheckFaultMatrixOptions,
): readonly string[] {
  const tables = parseTables(markdown);
  const keyTable = tables.find(([head]) => head?.[0] === "Key") ?? [];
  const referenceByKey = new Map(
    keyTable.slice(1).map(([key = "", reference = ""]) => [key, reference]),
  );
  const matrices = tables.filter(([head]) => head?.[0] === "Fault");
  const cells = matrices.flatMap((table) => table.slice(1))
    .flatMap((row) => row.slice(1))
    .flatMap(splitCell);
  return [
    ...Object.values(STEPS).flatMap((steps) => checkShape(matrices, steps)),
    ...cells.filter((cell) => !isKnown(cell, referenceByKey))
      .map((cell) =>
        `Cell '${cell}' is neither a key, a test nor 'not proved'`
      ),
    ...[...referenceByKey.keys()].filter((key) => !cells.includes(key))
      .map((key) => `Key '${key}' is in no cell`),
    ...[...referenceByKey.values(), ...cells.filter(isReference)]
      .flatMap((reference) => checkReference(reference, readFile)),
  ];
}

function parseTables(markdown: string): readonly Table[] {
  const blocks = markdown.split(/\n(?!\|)/).map((block) =>
    block.split("\n").filter((line) => line.startsWith("|"))
  );
  return blocks.filter((lines) => lines.length > 0).map((lines) =>
    lines.filter((line) => !/^\|[\s|:-]+\|$/.test(line)).map((line) =>
      line.split("|").slice(1, -1).map((cell) => cell.trim())
    )
  );
}

/** Splits at commas, except within a test reference. */
function splitCell(cell: string): readonly string[] {
  return cell.match(/`[^`]*`|[^,`]+/g)?.map((part) => part.trim())
    .filter((part) => part !== "") ?? ["(empty)"];
}

function checkShape(
  matrices: readonly Table[],
  steps: readonly string[],
): readonly string[] {
  const found = matrices.filter(([head]) =>
    head?.slice(1).join() === steps.join()
  );
  if (found.length !== 1) {
    return [`Expected one table with the steps ${steps.join(", ")}`];
  }
  const [, ...rows] = found[0]!;
  const problems = rows.map(([fault]) => fault).join() === FAULTS.join()
    ? []
    : [`Expected one row for each fault: ${FAULTS.join(", ")}`];
  const misshapen = rows.filter((row) => row.length !== steps.length + 1);
  return [
    ...problems,
    ...misshapen.map(([fault]) => `Row '${fault}' has a wrong number of cells`),
  ];
}

function isReference(cell: string): boolean {
  return TEST_REFERENCE.test(cell);
}

function isKnown(
  cell: string,
  referenceByKey: ReadonlyMap<string, string>,
): boolean {
  return cell === NOT_PROVED || referenceByKey.has(cell) || isReference(cell);
}

function checkReference(
  reference: string,
  readFile: CheckFaultMatrixOptions["readFile"],
): readonly string[] {
  const [, path, title] = TEST_REFERENCE.exec(reference) ?? [];
  if (path === undefined || title === undefined) {
    return [`Expected '\`path/of/file_test.ts: name\`', got '${reference}'`];
  }
  const source = readFile(path);
  if (source === undefined) return [`No test file '${path}'`];
  return titlesOf(source).includes(title)
    ? []
    : [`No test '${title}' in '${path}'`];
}

function titlesOf(source: string): readonly string[] {
  const code = source.replace(/^\s*\/\/.*$/gm, "");
  return [...code.matchAll(TEST_TITLE)].map(([, plain, template]) =>
    plain ?? template ?? ""
  );
}
