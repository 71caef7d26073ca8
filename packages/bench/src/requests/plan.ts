import {
  type Deployment,
  type DeploymentName,
  DEPLOYMENTS,
} from "../common/deployments.ts";

/** All systems, in the order in which a run measures them by default. */
export const SYSTEMS = ["owner", "direct", "baseline"] as const;

/** System that serves the callers: daemons with the division `owner` or `direct`, or baseline proxies. */
export type SystemName = typeof SYSTEMS[number];

/** All parts of a run, in the order in which they run by default. */
export const PARTS = ["latency", "goodput", "leaving", "failures"] as const;

/** Part of a run. */
export type Part = typeof PARTS[number];

/** Sizes that follow from the upstreams' service time. */
export interface LoadSizes {
  readonly serviceTimeMs: number;
  /** Deadline of each request. */
  readonly deadlineMs: number;
  /** Requests per second that all upstreams together can run. */
  readonly capacityPerSecond: number;
}

/** Sizes of the part `goodput`, which measures the goodput at each of the `LOAD_FACTORS`. */
export interface GoodputSizes extends LoadSizes {
  /**
   * Time before the measured time, in which queues fill. Without it, requests that are answered in time only
   * because the queues were not full yet would count as goodput.
   */
  readonly warmUpMs: number;
  readonly measuredMs: number;
}

/** Sizes of a run. */
export interface BenchPlan extends LoadSizes {
  readonly deployment: Deployment;
  readonly seed: number;
  readonly systems: readonly SystemName[];
  readonly parts: readonly Part[];
  /** Measured time while a third of the upstreams fail. */
  readonly measuredMs: number;
  readonly goodput: GoodputSizes;
  readonly instances: number;
  /** Services, each repeated once per instance, so that all instances get the same load. */
  readonly weightedServices: readonly string[];
  readonly idempotentShareByService: Readonly<Record<string, number>>;
}

/** With these service times, half capacity is 200 to 650 requests/s, which leaves most of 10 cores idle. */
const SERVICE_TIME_MS: Readonly<Record<DeploymentName, number>> = {
  thistledown: 100,
  trust: 200,
  minimal: 50,
};
/**
 * Overload is measured with longer service times: at 4,800 requests/s, generators on 10 shared cores sent
 * requests 500 ms late.
 */
const GOODPUT_SERVICE_TIME_MS: Readonly<Record<DeploymentName, number>> = {
  thistledown: 400,
  trust: 400,
  minimal: 400,
};
/** Enough for queues to fill: at twice the capacity, a queue of 4 × slots is full after 4 service times. */
const GOODPUT_WARM_UP_SERVICE_TIMES = 6;
const GOODPUT_MEASURED_SERVICE_TIMES = 8;
/** Requests in a full queue of 4 × slots wait 4 service times; deadlines allow for more than that. */
const DEADLINE_IN_SERVICE_TIMES = 10;

/** Options of `planBench`. */
export interface PlanBenchOptions {
  readonly seed: number;
  readonly seconds: number;
  /** Default all. */
  readonly systems?: readonly SystemName[];
  /** Default all. */
  readonly parts?: readonly Part[];
}

/** Computes the sizes of a run for a deployment. */
export function planBench(
  name: DeploymentName,
  { seed, seconds, systems = SYSTEMS, parts = PARTS }: PlanBenchOptions,
): BenchPlan {
  const deployment = DEPLOYMENTS[name];
  const counts = Object.entries(deployment.instancesByService);
  const instances = counts.reduce((sum, [, count]) => sum + count, 0);
  const goodputServiceTimeMs = GOODPUT_SERVICE_TIME_MS[name];
  const sizesFor = (serviceTimeMs: number): LoadSizes => ({
    serviceTimeMs,
    deadlineMs: serviceTimeMs * DEADLINE_IN_SERVICE_TIMES,
    capacityPerSecond: instances * deployment.slots * 1_000 / serviceTimeMs,
  });
  return {
    deployment,
    seed,
    systems,
    parts,
    measuredMs: seconds * 1_000,
    ...sizesFor(SERVICE_TIME_MS[name]),
    goodput: {
      ...sizesFor(goodputServiceTimeMs),
      warmUpMs: goodputServiceTimeMs * GOODPUT_WARM_UP_SERVICE_TIMES,
      measuredMs: goodputServiceTimeMs * GOODPUT_MEASURED_SERVICE_TIMES,
    },
    instances,
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
