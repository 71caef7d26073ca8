import { command, number, oneOf, option, optional, string } from "cmd-ts";
import { killProcessesOnSignals } from "@tanagercove/emulator";
import type { DeploymentName } from "../common/deployments.ts";
import { planBench } from "./plan.ts";
import { runRequests } from "./run_requests.ts";
import { type WorkerKind, WORKERS } from "./worker.ts";

const DEPLOYMENT_NAMES: readonly DeploymentName[] = ["thistledown", "trust"];
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
      description: "Default both, one after the other",
    }),
    seconds: option({
      type: number,
      long: "seconds",
      description:
        "Measured time of each load point; above 2 a deployment may take more than 4 minutes",
      defaultValue: () => 2,
    }),
    worker: option({
      type: optional(oneOf(WORKER_KINDS)),
      long: "worker",
      description: "Used by the bench itself for its own processes",
    }),
    workerOptions: option({
      type: string,
      long: "worker-options",
      defaultValue: () => "{}",
    }),
  },
  async handler({ seed, deployment, seconds, worker, workerOptions }) {
    if (worker !== undefined) return await WORKERS[worker](workerOptions);
    killProcessesOnSignals();
    const names = deployment === undefined ? DEPLOYMENT_NAMES : [deployment];
    for (const name of names) {
      await runRequests(planBench(name, { seed, seconds }));
    }
  },
});
