import { writeSync } from "node:fs";
import { createInterface } from "node:readline";
import { command, flag, number, oneOf, option, string } from "cmd-ts";
import type { OverloadMode } from "./request_executor.ts";
import type { UpstreamControl, UpstreamState } from "./upstream_control.ts";
import type { UpstreamProcessLine } from "./upstream_process.ts";
import { startUpstreamStandIn } from "./upstream_stand_in.ts";

const SHAPES = ["fixed", "uniform", "exponential"] as const;
const OVERLOAD_MODES: readonly OverloadMode[] = ["shed", "wait"];
const STATES: readonly UpstreamState[] = ["starting", "ready", "draining"];

/**
 * `emulator upstream`: runs one upstream. It writes each event as a line of JSON and reads commands
 * (`UpstreamControl`) as lines of JSON from standard input.
 */
export const upstreamCommand = command({
  name: "upstream",
  description: "Run one emulated upstream",
  args: {
    name: option({ type: string, long: "name" }),
    host: option({
      type: string,
      long: "host",
      defaultValue: () => "127.0.0.1",
    }),
    port: option({ type: number, long: "port", defaultValue: () => 0 }),
    seed: option({ type: number, long: "seed", defaultValue: () => 1 }),
    shape: option({
      type: oneOf(SHAPES),
      long: "service-time-shape",
      defaultValue: () => "fixed" as const,
    }),
    meanMs: option({
      type: number,
      long: "service-time-ms",
      defaultValue: () => 0,
    }),
    slots: option({ type: number, long: "slots", defaultValue: () => 10 }),
    overload: option({
      type: oneOf(OVERLOAD_MODES),
      long: "overload",
      defaultValue: (): OverloadMode => "shed",
    }),
    connectionLimit: option({
      type: number,
      long: "connection-limit",
      defaultValue: () => Infinity,
    }),
    coldMs: option({ type: number, long: "cold-ms", defaultValue: () => 0 }),
    coldFactor: option({
      type: number,
      long: "cold-factor",
      defaultValue: () => 5,
    }),
    state: option({
      type: oneOf(STATES),
      long: "state",
      defaultValue: (): UpstreamState => "ready",
    }),
    exitWithStdin: flag({
      long: "exit-with-stdin",
      description: "End when standard input closes",
    }),
  },
  handler: async ({ shape, meanMs, exitWithStdin, ...options }) => {
    const upstream = await startUpstreamStandIn({
      ...options,
      serviceTime: { shape, meanMs },
      onEvent: writeLine,
      crash: () => process.kill(process.pid, "SIGKILL"),
    });
    createInterface({ input: process.stdin })
      .on("line", (line) => {
        const received = JSON.parse(line) as UpstreamControl;
        upstream.control(received);
        writeLine({ event: "control_done", action: received.action });
      })
      .on("close", () => {
        if (exitWithStdin) process.exit(0);
      });
    const stop = () => void upstream.close().then(() => process.exit(0));
    process.once("SIGTERM", stop);
    process.once("SIGINT", stop);
    writeLine({ event: "upstream_ready", port: upstream.port });
  },
});

/** Writes synchronously, so that a kill right after it loses no event. */
function writeLine(line: UpstreamProcessLine): void {
  writeSync(1, `${JSON.stringify(line)}\n`);
}
