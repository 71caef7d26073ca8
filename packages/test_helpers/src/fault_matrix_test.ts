import { existsSync, readFileSync } from "node:fs";
import t from "tap";
import { checkFaultMatrix, FAULTS, STEPS } from "./index.ts";

function pageWith(cell: string, keys = ""): string {
  const tables = Object.values(STEPS).map((steps) =>
    [
      ["Fault", ...steps],
      ...FAULTS.map((fault) => [fault, ...steps.map(() => cell)]),
    ]
      .map((row) => `| ${row.join(" | ")} |`).join("\n")
  );
  return `${tables.join("\n\n")}\n\n| Key | Test |\n| --- | --- |\n${keys}`;
}

function problemsOf(markdown: string): readonly string[] {
  const source =
    't.test("should a", () => {});\n// t.test("should b", () => {});\nt.test(\n  `should c ${d}`,\n  { skip: true }, () => {});\nt.test(`should e ${f}`, () => {});\nfaultTest(\n  "should g", () => {});\nrequestFaultTest(`should h ${i}`, () => {});\n// faultTest("should j", () => {});\nnoTest("should k", () => {});';
  return checkFaultMatrix({
    markdown,
    readFile: (path) => path === "x_test.ts" ? source : undefined,
  });
}

// Guards against a matrix that claims more than the tests in the repository show.
t.test("should accept docs/FAULTS.md", (t) => {
  const problems = checkFaultMatrix({
    markdown: readFileSync("docs/FAULTS.md", "utf8"),
    readFile: (path) =>
      existsSync(path) ? readFileSync(path, "utf8") : undefined,
  });
  t.same(problems, []);
  t.end();
});

// Guards against a check that accepts any cell.
t.test("should report tests that are missing, commented out or skipped", (t) => {
  const good = [
    "not proved",
    "`x_test.ts: should a`",
    "`x_test.ts: should e ${f}`",
    "`x_test.ts: should g`",
    "`x_test.ts: should h ${i}`",
  ];
  for (const cell of good) t.same(problemsOf(pageWith(cell)), []);
  const bad = [
    "should b",
    "should c ${d}",
    "should j",
    "should k",
    "should z",
  ];
  for (const title of bad) {
    const problems = problemsOf(pageWith(`\`x_test.ts: ${title}\``));
    t.equal(problems[0], `No test '${title}' in 'x_test.ts'`);
  }
  const [problem] = problemsOf(pageWith("`y_test.ts: should a`"));
  t.equal(problem, "No test file 'y_test.ts'");
  t.end();
});

// Guards against rows, cells and keys that an edit of the page drops.
t.test("should report rows, steps, cells and keys that are missing or unused", (t) => {
  const key = "| A1 | `x_test.ts: should a` |\n";
  t.same(problemsOf(pageWith("A1, not proved", key)), []);
  t.match(problemsOf(pageWith("A2", key))[0], "Cell 'A2' is neither");
  t.match(problemsOf(pageWith(""))[0], "Cell '(empty)' is neither");
  t.match(problemsOf(pageWith("not proved", key)), ["Key 'A1' is in no cell"]);
  t.match(problemsOf(pageWith("A1", "| A1 | x_test.ts |")), [
    /^Expected '`path/,
  ]);
  const page = pageWith("not proved");
  const faultLost = page.replace(/\| process paused .*\n/, "");
  t.match(problemsOf(faultLost), [/^Expected one row for each fault/]);
  const stepLost = page.replace("| drain |", "|");
  t.match(problemsOf(stepLost), [/^Expected one table with the steps/]);
  const cellLost = page.replace(
    "process paused | not proved",
    "process paused",
  );
  t.match(problemsOf(cellLost), ["Row 'process paused' has a wrong number"]);
  t.end();
});
