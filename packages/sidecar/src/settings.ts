import type { Endpoint } from "@tanagercove/types";

/** Header names that callers and upstreams use, in lower case. */
export interface RequestHeaderNames {
  /** Id of one request; each attempt of a caller has its own. */
  readonly requestId: string;
  /** Time left until the caller's deadline, in milliseconds. */
  readonly timeLeftMs: string;
  /** Present only in answers that the upstream itself has written. */
  readonly signature: string;
  /** Id of the upstream that a request is meant for; any other upstream refuses it. */
  readonly upstreamId: string;
  /** Id of the upstream that answers a health check or refuses a request for another upstream. */
  readonly answeringUpstreamId: string;
  /** Running and waiting requests and the slots of the upstream. */
  readonly load: string;
  /** Present if the upstream did not run the request. */
  readonly notRun: string;
  /** Requests per second that an upstream in need takes from all daemons together. */
  readonly limitPerSecond: string;
  /** Present in the answers of an upstream that is leaving. */
  readonly leaving: string;
  /** Service of the VM that the request comes from. */
  readonly callerService: string;
  /** Time for which the upstream stays cold, in milliseconds; in answers to health checks. */
  readonly coldMs: string;
}

/** How far the requests to a cold upstream may exceed what it bears, in any second. */
export interface ColdStartBounds {
  /** Multiple of the requests per second that the upstream bears. */
  readonly overFactor: number;
  /** Requests on top of that. */
  readonly slackCount: number;
}

/** Settings of one sidecar. */
export interface SidecarSettings {
  readonly vmId: string;
  /** IP of this VM. */
  readonly address: string;
  readonly zone: string;
  /** Bandwidth of this VM's link. */
  readonly linkMbps: number;
  /** Service of this VM's upstream. */
  readonly service: string;
  readonly upstream: Endpoint;
  /** Address on which the daemon listens for requests of this VM's clients and upstream. */
  readonly caller: Endpoint;
  /** Address on which the daemon listens for requests of other daemons; the port is the same on all VMs. */
  readonly peer: Endpoint;
  /** Port of the channel between daemons, the same on all VMs; without it, they forward requests over HTTP. */
  readonly channelPort?: number | undefined;
  /** Address on which the daemon serves the readiness check. */
  readonly readiness: Endpoint;
  /**
   * Additional address at which other daemons reach this one, as listed in their `seeds`. Only its port is used here:
   * the daemon listens on that port of `peer.address`.
   */
  readonly control: Endpoint | undefined;
  /** Addresses of other daemons, known without a catalog; they may be out of date. */
  readonly seeds: readonly Endpoint[];
  readonly metricsPort: number;
  /** Where the platform publishes routes and upstreams. */
  readonly platform: Endpoint;
  /** Time from a stop signal until the process is killed. */
  readonly drainTimeoutMs: number;
  /** Time after its acknowledgement within which a version must be in force; 2 s by default. */
  readonly configurationApplyMs?: number | undefined;
  readonly retryBudgetRatio: number;
  readonly retryBudgetWindowMs: number;
  readonly retryBudgetSlack: number;
  /** Memory above which the process is killed, if there is such a limit. */
  readonly memoryLimitBytes?: number | undefined;
  /** Undefined if the platform sets no bound on the requests to cold upstreams. */
  readonly coldStartBounds?: ColdStartBounds | undefined;
  /** Time after an evacuation's acknowledgement within which the zone's upstreams get no more requests, if it is bounded. */
  readonly evacuationMs?: number | undefined;
  /** Whether the daemon learns how much its upstream takes well, if the upstream tells how long work takes; true by default. */
  readonly learnsCapacity?: boolean;
}
