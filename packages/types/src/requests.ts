/** Outcome of a request: it got a response, it certainly did not run, or it may have run. */
export type Outcome = "answered" | "not_run" | "unknown";

/** Why a request was refused or its outcome is unknown. */
export type Reason =
  | "bad_request"
  | "customer_missing"
  | "identity_refused"
  | "customer_unknown"
  | "plan_without_allowance"
  | "service_not_allowed"
  | "service_unknown"
  | "request_timeout"
  | "body_too_large"
  | "headers_too_large"
  | "method_unknown"
  | "too_deep"
  | "service_not_known"
  | "no_upstream"
  | "starting"
  | "leaving"
  | "queue_full"
  | "queue_timeout"
  | "shed"
  | "upstream_silent"
  | "connect_failed"
  | "cut"
  | "answer_truncated"
  | "deadline";

/**
 * Names of `tanagercove-*` headers, in lower case. The proxy and sidecar packages define further ones, which only
 * daemons send to each other.
 */
export const HEADERS = {
  service: "tanagercove-service",
  customer: "tanagercove-customer",
  expires: "tanagercove-expires",
  signature: "tanagercove-signature",
  deadlineMs: "tanagercove-deadline-ms",
  depth: "tanagercove-depth",
  revision: "tanagercove-revision",
  requestId: "tanagercove-request-id",
  outcome: "tanagercove-outcome",
  reason: "tanagercove-reason",
  notStarted: "tanagercove-not-started",
  timing: "tanagercove-timing",
} as const;
