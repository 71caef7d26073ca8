import {
  command,
  extendType,
  flag,
  number,
  option,
  optional,
  string,
} from "cmd-ts";
import { FAULT_KINDS, type FaultKind } from "./plan.ts";
import { runSoak, type SoakReport } from "./run_soak.ts";
import type { SoakPlatform } from "./ports.ts";

/** Third octets of the loopback addresses, which seeds use in turn, so that the ports of a closed run are not reused at once. */
const ADDRESS_BLOCKS = { first: 200, count: 40 } as const;

const faultKinds = extendType(string, {
  displayName: "kinds",
  from(text): Promise<readonly FaultKind[]> {
    const kinds = text.split(",").map((name) => {
      const kind = FAULT_KINDS.find((known) => known === name);
      if (kind === undefined) {
        throw new Error(`Unknown kind of fault "${name}"`);
      }
      return kind;
    });
    return Promise.resolve(kinds);
  },
});

/** Creates the command that runs seeds one after the other; its result is the exit code. */
export function soakCommand(platform: SoakPlatform) {
  return command({
    name: "soak",
    description:
      "Injects random faults into real daemons on this machine and checks the promises. " +
      "Exits with 1 if a promise was broken.",
    args: {
      seed: option({
        type: optional(number),
        long: "seed",
        description: "First seed; derived from the current time by default",
      }),
      seeds: option({
        type: number,
        long: "seeds",
        defaultValue: () => 1,
        description: "Number of consecutive seeds to run",
      }),
      durationMs: option({
        type: optional(number),
        long: "duration-ms",
        description: "Time during which faults start, 20000 by default",
      }),
      kinds: option({
        type: optional(faultKinds),
        long: "kinds",
        description: `Only these kinds of fault, separated by commas: ${
          FAULT_KINDS.join(", ")
        }`,
      }),
      quiet: flag({ long: "quiet", description: "Shows no progress" }),
    },
    async handler({ seed, seeds, durationMs, kinds, quiet }) {
      const firstSeed = seed ?? Date.now() % 1_000_000;
      let failedSeeds = 0;
      for (let i = 0; i < seeds; i += 1) {
        const startedAtMs = performance.now();
        const report = await runSoak({
          platform,
          seed: firstSeed + i,
          durationMs,
          kinds,
          addressBlock: ADDRESS_BLOCKS.first + i % ADDRESS_BLOCKS.count,
          onProgress: (text) => {
            if (quiet) return;
            const elapsedS = (performance.now() - startedAtMs) / 1_000;
            console.error(
              `seed ${firstSeed + i} ${elapsedS.toFixed(1)} s: ${text}`,
            );
          },
        });
        console.log(describeReport(report));
        if (report.violations.length > 0) failedSeeds += 1;
      }
      console.log(`${seeds} seeds, ${failedSeeds} with a broken promise`);
      return failedSeeds === 0 ? 0 : 1;
    },
  });
}

/** Formats the report of one seed as text. */
export function describeReport(report: SoakReport): string {
  const { seed, faults, calls, answered, runs, violations } = report;
  const summary =
    `seed ${seed}: ${faults} faults, ${calls} requests, ${answered} answered, ${runs} runs, ${
      violations.length === 0 ? "no broken promise" : "BROKEN"
    }`;
  const details = violations.flatMap(({ promise, subject, detail, log }) => [
    `  ${promise}: ${subject}: ${detail}`,
    ...log.map((line) => `    ${line}`),
  ]);
  return [summary, ...details].join("\n");
}
