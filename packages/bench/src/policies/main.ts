import { command, number, oneOf, option, positional, run } from "cmd-ts";
import { type ProgramName, PROGRAMS } from "./programs.ts";

const NAMES = Object.keys(PROGRAMS) as ProgramName[];

const policies = command({
  name: "policies",
  description: "Compares request policies in virtual time; writes JSON Lines",
  args: {
    program: positional({ type: oneOf(NAMES), displayName: "program" }),
    seed: option({
      long: "seed",
      type: number,
      defaultValue: () => 20_261_204,
    }),
    seconds: option({
      long: "seconds",
      type: number,
      description: "Virtual length of each run",
      defaultValue: () => 60,
    }),
  },
  async handler({ program, seed, seconds }) {
    const write = (record: Readonly<Record<string, unknown>>) =>
      console.log(JSON.stringify({ program, seed, ...record }));
    await PROGRAMS[program]({ seed, durationMs: seconds * 1_000, write });
  },
});

void run(policies, process.argv.slice(2));
