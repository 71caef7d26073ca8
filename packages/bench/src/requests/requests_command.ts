import {
  command,
  number,
  oneOf,
  option,
  optional,
  string,
  type Type,
} from "cmd-ts";
import { killProcessesOnSignals } from "@tanagercove/emulator";
import type { DeploymentName } from "../common/deployments.ts";
import { PARTS, planBench, SYSTEMS } from "./plan.ts";
import { runRequests } from "./run_requests.ts";
import { type WorkerKind, WORKERS } from "./worker.ts";

const DEPLOYMENT_NAMES: readonly DeploymentName[] = [
  "thistledown",
  "trust",
  "minimal",
];
/** Deployments of customers, which are measured by default. */
const DEFAULT_NAMES = DEPLOYMENT_NAMES.slice(0, 2);
const WORKER_KINDS = Object.keys(WORKERS) as WorkerKind[];

/** `bench requests`: measures the request path against direct calls and the baseline proxy. */
export const requestsCommand = command({
  name: "requests",
  description:
    "Measure latency, goodput, retries and leaving; writes JSON Lines",
  args: {
    seed: option({ type: number, long: "seed", defaultValue: () => 1 }),
    deployment: option({
      type: optional(oneOf(DEPLOYMENT_NAMES)),
      long: "deployment",
      description: "Default thistledown and trust, one after the other",
    }),
    seconds: option({
      type: number,
      long: "seconds",
      description: "Measured time while a third of the upstreams fail",
      defaultValue: () => 2,
    }),
    parts: option({
      type: listOf(PARTS),
      long: "parts",
      description: `Any of ${PARTS.join(",")}; default all`,
      defaultValue: () => PARTS,
    }),
    systems: option({
      type: listOf(SYSTEMS),
      long: "systems",
      description: `Any of ${SYSTEMS.join(",")}; default all`,
      defaultValue: () => SYSTEMS,
    }),
    worker: option({
      type: optional(oneOf(WORKER_KINDS)),
      long: "worker",
      description: "Used by the bench itself to start its worker processes",
    }),
    workerOptions: option({
      type: string,
      long: "worker-options",
      defaultValue: () => "{}",
    }),
  },
  async handler({ worker, workerOptions, deployment, ...options }) {
    if (worker !== undefined) return await WORKERS[worker](workerOptions);
    killProcessesOnSignals();
    const names = deployment === undefined ? DEFAULT_NAMES : [deployment];
    for (const name of names) {
      await runRequests(planBench(name, options));
    }
  },
});

/** Argument type for a comma-separated list of names. */
function listOf<T extends string>(
  names: readonly T[],
): Type<string, readonly T[]> {
  return {
    from(text) {
      const chosen = text.split(",");
      const unknown = chosen.find((name) => !names.includes(name as T));
      if (unknown === undefined) return Promise.resolve(chosen as T[]);
      const error = `Unknown "${unknown}", expected any of ${names.join(", ")}`;
      return Promise.reject(new Error(error));
    },
  };
}
