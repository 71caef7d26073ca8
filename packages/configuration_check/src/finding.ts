/** How bad a finding is: with an `error`, daemons refuse the version or cannot serve what it means to serve. */
export type Severity = "error" | "warning";

/** One thing that is wrong with a configuration, or likely to be. */
export interface Finding {
  readonly severity: Severity;
  /** Name of the route; undefined if the finding concerns the whole configuration or a service. */
  readonly route?: string;
  /** Field of the route, the service or the limits that is to be corrected. */
  readonly field: string;
  readonly message: string;
}
