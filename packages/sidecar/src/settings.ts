import type { Endpoint } from "@tanagercove/types";

/** Header names that callers and upstreams use, in lower case. */
export interface RequestHeaderNames {
  /** Id of one request; each attempt of a caller has its own. */
  readonly requestId: string;
  /** Time that the caller still waits, in milliseconds. */
  readonly timeLeftMs: string;
  /** Mark of an upstream's own answer. */
  readonly signature: string;
  /** Id of the upstream that a request is meant for; any other upstream refuses it. */
  readonly upstreamId: string;
  /** Id of the upstream that refuses a request meant for another one. */
  readonly answeringUpstreamId: string;
  /** Running and waiting requests and slots of the upstream. */
  readonly load: string;
  /** Says that the upstream did not run the request. */
  readonly notRun: string;
  /** Service of the VM on which the request began. */
  readonly callerService: string;
}

/** Settings of one sidecar. */
export interface SidecarSettings {
  readonly vmId: string;
  /** IP of this VM. */
  readonly address: string;
  readonly zone: string;
  /** Service of this VM's upstream. */
  readonly service: string;
  readonly upstream: Endpoint;
  /** For clients and the upstream on this VM. */
  readonly caller: Endpoint;
  /** For other daemons; the port is the same on all VMs. */
  readonly peer: Endpoint;
  readonly readiness: Endpoint;
  /** Further address for other daemons, which seeds name. */
  readonly control: Endpoint | undefined;
  /** Other daemons that may be known at the start; they may be out of date. */
  readonly seeds: readonly Endpoint[];
  readonly metricsPort: number;
  /** Where the platform publishes routes and upstreams. */
  readonly platform: Endpoint;
  /** Time from a stop signal until the process is killed. */
  readonly drainTimeoutMs: number;
  readonly retryBudgetRatio: number;
  readonly retryBudgetWindowMs: number;
  readonly retryBudgetSlack: number;
}
