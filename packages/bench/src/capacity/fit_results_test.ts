import t from "tap";
import { fitResults } from "./fit_results.ts";

function result(daemons: number, platformCallsPerSecond: number) {
  return { variant: "balanced", daemons, rest: { platformCallsPerSecond } };
}

t.test("should find slope and residual, and leave out figures measured at fewer than four sizes", (t) => {
  const results = [
    result(12, 10),
    result(24, 16),
    result(48, 28),
    result(96, 53),
  ];
  const [fitted, ...others] = fitResults(results);
  t.equal(others.length, 0);
  t.equal(fitted?.figure.name, "platform calls/s at rest");
  t.ok(Math.abs(fitted!.fit.slope - 0.51) < 0.01, `${fitted!.fit.slope}`);
  t.ok(fitted!.fit.maxResidual < 0.5);
  t.strictSame(fitResults(results.slice(1)), []);
  t.end();
});

// Guards against a figure whose path names a field that the slopes bench does not write. The fields here
// repeat the fields of that bench's result lines.
t.test("should fit the request path by calls per second", (t) => {
  const results = [50, 100, 200, 400].map((callsPerSecond) => ({
    variant: "owner",
    callsPerSecond,
    ownerCpuMsPerSecond: 30 + callsPerSecond * 0.5,
  }));
  const fitted = fitResults(results);
  t.same(fitted.map(({ figure }) => figure.name), [
    "processor ms/s as the owner daemon",
  ]);
  t.ok(Math.abs(fitted[0]!.fit.slope - 0.5) < 1e-9);
  t.end();
});
