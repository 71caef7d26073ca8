import { command, number, option, string } from "cmd-ts";
import { runLoad } from "./load.ts";

const listOf = (text: string) => text.split(",").map((word) => word.trim());

/** `emulator load`: sends load to running daemons and writes the report as JSON. */
export const loadCommand = command({
  name: "load",
  description: "Send open-loop load to the caller ports of daemons",
  args: {
    targets: option({
      type: string,
      long: "targets",
      description: "URLs of caller ports, separated by commas",
    }),
    customers: option({ type: string, long: "customers" }),
    services: option({ type: string, long: "services" }),
    ratePerSecond: option({
      type: number,
      long: "rate-per-second",
      defaultValue: () => 20,
    }),
    durationMs: option({
      type: number,
      long: "duration-ms",
      defaultValue: () => 10_000,
    }),
    seed: option({ type: number, long: "seed", defaultValue: () => 1 }),
    idempotentShare: option({
      type: number,
      long: "idempotent-share",
      defaultValue: () => 0.8,
    }),
    deadlineMs: option({
      type: number,
      long: "deadline-ms",
      defaultValue: () => 5_000,
    }),
    answerBytes: option({
      type: number,
      long: "answer-bytes",
      defaultValue: () => 0,
    }),
  },
  handler: async ({ targets, customers, services, ...options }) => {
    const stop = new AbortController();
    process.once("SIGINT", () => stop.abort());
    const report = await runLoad({
      ...options,
      targets: listOf(targets),
      customers: listOf(customers),
      services: listOf(services),
      signal: stop.signal,
    });
    console.log(JSON.stringify(report, undefined, 2));
  },
});
