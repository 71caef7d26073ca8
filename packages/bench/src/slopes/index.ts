import { command, number, option } from "cmd-ts";
import { killProcessesOnSignals } from "@tanagercove/emulator";
import { runSlopes } from "./run_slopes.ts";

/** `bench slopes`: what calls, queued requests and connections cost a daemon, for `bench capacity`. */
export const slopesCommand = command({
  name: "slopes",
  description:
    "Measure the request path's processor time, bytes and memory at several rates and sizes",
  args: {
    seed: option({ type: number, long: "seed", defaultValue: () => 1 }),
  },
  async handler({ seed }) {
    killProcessesOnSignals();
    await runSlopes(seed);
  },
});
