import t from "tap";
import { VersionHistory, type VersionObservation } from "./version_history.ts";

const PUBLISHED = [
  { revision: 1, hash: "h1", valid: true },
  { revision: 2, hash: "h2", valid: false },
  { revision: 3, hash: "h3", valid: true },
];

function violationsOf(
  ...observations: readonly Partial<VersionObservation>[]
): readonly string[] {
  const history = new VersionHistory({ published: () => PUBLISHED });
  for (const fields of observations) {
    history.observe({
      vmId: "vm-1",
      processNumber: 1,
      source: "status",
      revision: 1,
      hash: "h1",
      atMs: 0,
      ...fields,
    });
  }
  return history.violations;
}

const THIRD_VERSION = { revision: 3, hash: "h3" };

t.test("should accept rising versions, and a lower one from the next process or another source", (t) => {
  t.same(violationsOf({}, {}, THIRD_VERSION, { processNumber: 2 }), []);
  t.same(violationsOf(THIRD_VERSION, { source: "log" }), []);
  t.end();
});

t.test("should report a falling revision, content of another revision and an invalid version", (t) => {
  t.match(violationsOf(THIRD_VERSION, {}), [/fell from 3 to 1/]);
  t.match(violationsOf({ revision: 3, hash: "h1" }), [/never published/]);
  t.match(violationsOf({ revision: 2, hash: "h2" }), [/invalid version 2/]);
  t.match(violationsOf({}, { hash: "h3" }), [/changed the content/, /never/]);
  t.end();
});
