import { readFile } from "node:fs/promises";
import { command, number, option, restPositionals, string } from "cmd-ts";
import { writeResult } from "../common/report.ts";
import { round } from "../common/statistics.ts";
import { fitResults, type ResultLine } from "./fit_results.ts";

/** `bench capacity`: fits the figures of result files and extrapolates them. */
export const capacityCommand = command({
  name: "capacity",
  description:
    "Fit the results of the distribution and slopes benches and extrapolate them to a size",
  args: {
    at: option({
      type: number,
      long: "at",
      defaultValue: () => 3_000,
      description: "Size along the axis of each figure",
    }),
    files: restPositionals({ type: string, displayName: "FILE.jsonl" }),
  },
  handler: async ({ at, files }) => {
    for (const file of files) {
      for (const fitted of fitResults(await readResults(file))) {
        const { variant, figure, points, fit } = fitted;
        writeResult({
          variant,
          figure: figure.name,
          axis: figure.axis,
          sizes: points.map(({ x }) => x),
          values: points.map(({ y }) => round(y)),
          slope: fit.slope,
          intercept: round(fit.intercept),
          maxResidual: round(fit.maxResidual),
          at,
          extrapolated: round(fit.intercept + fit.slope * at),
        });
      }
    }
  },
});

async function readResults(file: string): Promise<readonly ResultLine[]> {
  const lines = (await readFile(file, "utf8")).split("\n");
  return lines.filter((line) => line.startsWith("{"))
    .map((line) => JSON.parse(line) as ResultLine);
}
