import { command, number, option, string } from "cmd-ts";
import { runLoad } from "./load.ts";
import type { CallRecord } from "./load_report.ts";
import type { LoadProcessLine, LoadProcessOptions } from "./load_process.ts";

/** Limits the length of a line of output. */
const CALLS_PER_LINE = 200;

const listOf = (text: string) => text.split(",").map((word) => word.trim());

/**
 * `emulator load`: sends load to running daemons and writes the report as JSON or, with `--options`, the
 * calls as JSON Lines.
 */
export const loadCommand = command({
  name: "load",
  description: "Send open-loop load to the caller ports of daemons",
  args: {
    optionsJson: option({
      type: string,
      long: "options",
      description:
        "All options as one JSON object, instead of the other flags; writes every call as JSON Lines",
      defaultValue: () => "",
    }),
    targets: option({
      type: string,
      long: "targets",
      defaultValue: () => "",
      description: "URLs of caller ports, separated by commas",
    }),
    customers: option({
      type: string,
      long: "customers",
      defaultValue: () => "",
    }),
    services: option({
      type: string,
      long: "services",
      defaultValue: () => "",
    }),
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
  handler: async (
    { optionsJson, targets, customers, services, ...options },
  ) => {
    if (optionsJson !== "") {
      return await recordLoad(JSON.parse(optionsJson) as LoadProcessOptions);
    }
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

async function recordLoad(options: LoadProcessOptions): Promise<void> {
  const calls: CallRecord[] = [];
  const { notSent } = await runLoad({
    ...options,
    onCall: (call) => calls.push(call),
  });
  while (calls.length > 0) {
    writeLine({ event: "calls", calls: calls.splice(0, CALLS_PER_LINE) });
  }
  writeLine({ event: "load_done", notSent });
}

function writeLine(line: LoadProcessLine): void {
  console.log(JSON.stringify(line));
}
