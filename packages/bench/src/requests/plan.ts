import {
  type Deployment,
  type DeploymentName,
  DEPLOYMENTS,
} from "../common/deployments.ts";

/** What answers callers in a phase: daemons with one division of work, or baseline proxies. */
export type SystemName = "owner" | "direct" | "baseline";

/** Sizes of a run. */
export interface BenchPlan {
  readonly deployment: Deployment;
  readonly seed: number;
  /** Measured time of each load point. */
  readonly measuredMs: number;
  readonly serviceTimeMs: number;
  /** Deadline of each request. */
  readonly deadlineMs: number;
  readonly instances: number;
  /** Requests per second that all upstreams together can run. */
  readonly capacityPerSecond: number;
  /** Services, each as often as it has instances, so that all instances get the same load. */
  readonly weightedServices: readonly string[];
  readonly idempotentShareByService: Readonly<Record<string, number>>;
}

/**
 * Chosen so that 4 times capacity is about 5,000 requests/s, which the generators and 10 cores can
 * still carry.
 */
const SERVICE_TIME_MS: Readonly<Record<DeploymentName, number>> = {
  thistledown: 100,
  trust: 200,
};
/** A full queue of 4 × slots waits 4 service times; callers allow for more than that. */
const DEADLINE_IN_SERVICE_TIMES = 10;

/** Options of `planBench`. */
export interface PlanBenchOptions {
  readonly seed: number;
  readonly seconds: number;
}

/** Computes the sizes of a run for a deployment. */
export function planBench(
  name: DeploymentName,
  { seed, seconds }: PlanBenchOptions,
): BenchPlan {
  const deployment = DEPLOYMENTS[name];
  const serviceTimeMs = SERVICE_TIME_MS[name];
  const counts = Object.entries(deployment.instancesByService);
  const instances = counts.reduce((sum, [, count]) => sum + count, 0);
  return {
    deployment,
    seed,
    measuredMs: seconds * 1_000,
    serviceTimeMs,
    deadlineMs: serviceTimeMs * DEADLINE_IN_SERVICE_TIMES,
    instances,
    capacityPerSecond: instances * deployment.slots * 1_000 / serviceTimeMs,
    weightedServices: counts.flatMap(([service, count]) =>
      Array.from({ length: count }, () => service)
    ),
    idempotentShareByService: Object.fromEntries(
      Object.entries(deployment.nonIdempotentShare).map((
        [service, share],
      ) => [service, 1 - share]),
    ),
  };
}
