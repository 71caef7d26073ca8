import { boolean, command, flag, number, option, string } from "cmd-ts";
import { runDistribution, type Variant } from "./run_distribution.ts";

const VARIANTS: readonly Variant[] = [
  "convergence",
  "balanced",
  "bytes",
  "baseline",
];

/** `bench distribution`: time until a change is in force, platform calls, bytes, processor time and memory. */
export const distributionCommand = command({
  name: "distribution",
  description:
    "Measure distribution at several fleet sizes, and a baseline in which every daemon reads the platform",
  args: {
    sizes: option({
      type: string,
      long: "sizes",
      defaultValue: () => "12,24,48,96",
    }),
    zones: option({
      type: number,
      long: "zones",
      defaultValue: () => 3,
      description: "1, 2 or 3; the daemons are spread evenly over them",
    }),
    variants: option({
      type: string,
      long: "variants",
      defaultValue: () => "balanced,baseline",
      description: VARIANTS.join(", "),
    }),
    seed: option({ type: number, long: "seed", defaultValue: () => 1 }),
    changes: option({ type: number, long: "changes", defaultValue: () => 15 }),
    restMs: option({
      type: number,
      long: "rest-ms",
      defaultValue: () => 20_000,
    }),
    customers: option({
      type: number,
      long: "customers",
      defaultValue: () => 4_000,
    }),
    listedVms: option({
      type: number,
      long: "listed-vms",
      defaultValue: () => 0,
    }),
    noHerd: flag({ type: boolean, long: "no-herd" }),
  },
  handler: ({ sizes, variants, noHerd, ...options }) =>
    runDistribution({
      ...options,
      sizes: sizes.split(",").map(Number),
      variants: variants.split(",") as Variant[],
      herd: !noHerd,
    }),
});
