/** Whether a request may run more than once. */
export type RequestClass = "idempotent" | "non_idempotent";

/** A service that a route sends requests to, with its share of them. */
export interface RouteTarget {
  readonly service: string;
  /** Share relative to the other targets of the route. */
  readonly weight: number;
}

/** One route, for requests to the host whose path begins with the prefix. The longest matching prefix applies. */
export interface Route {
  readonly name: string;
  /** Host in lower case, without a port. */
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly requestClass: RequestClass;
  /** Time within which a response has its full value for the caller. */
  readonly latencyObjectiveMs: number;
  /** Lower values are more urgent, from 0. */
  readonly priority: number;
  readonly targets: readonly RouteTarget[];
  /** Longest time for which a caller is kept waiting. */
  readonly timeoutMs: number;
  /**
   * Limit on attempts that may have reached an upstream. A refusal by a daemon that sent nothing to an
   * upstream does not count.
   */
  readonly maxAttempts: number;
  /** Whether requests carry large bodies, for which room is granted before they are sent; false by default. */
  readonly hasLargeBodies?: boolean;
}

/** What an upstream bears for a time after its start. */
export interface ColdStart {
  /** Time for which an upstream is cold after its start. */
  readonly durationMs: number;
  /** Requests that a cold upstream bears per second. */
  readonly requestsPerSecond: number;
}

/** Configuration of a service. */
export interface ServiceDefinition {
  readonly name: string;
  readonly healthPath: string;
  /** Connections that one upstream accepts from all callers together. */
  readonly maxConnections: number;
  /** Undefined if upstreams of the service bear their full load from the start. */
  readonly coldStart?: ColdStart;
}

/** Limits on what a caller may send and how long it may take. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One complete version of the routes. */
export interface RouteConfiguration {
  /** Increases with each version, by varying steps. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly ServiceDefinition[];
  readonly limits: CallerLimits;
}
