import type { Outcome, Reason } from "@tanagercove/types";

/** Response that a caller gets for a reason. */
export interface RefusalText {
  readonly status: number;
  /** Outcome that the reason implies; that of `deadline` depends on whether anything was sent. */
  readonly outcome: Exclude<Outcome, "answered"> | "depends";
  readonly message: string;
}

/** Status, outcome and message of each reason. */
export const REFUSALS: Readonly<Record<Reason, RefusalText>> = {
  bad_request: refusal(400, "The request is malformed"),
  customer_missing: refusal(401, "The request names no customer"),
  identity_refused: refusal(401, "The customer's identity is not proved"),
  customer_unknown: refusal(403, "The customer has no plan"),
  plan_without_allowance: refusal(403, "The customer's plan allows nothing"),
  service_not_allowed: refusal(403, "The plan does not allow the service"),
  service_unknown: refusal(404, "No plan names the service"),
  method_unknown: refusal(405, "The method is not supported"),
  request_timeout: refusal(408, "The request was not complete in time"),
  body_too_large: refusal(413, "The request body is too large"),
  headers_too_large: refusal(431, "The request headers are too large"),
  too_deep: refusal(508, "The call chain is too deep"),
  service_not_known: refusal(503, "No VM of the service is known yet"),
  no_upstream: refusal(503, "No upstream of the service can be used"),
  starting: refusal(503, "The daemon holds no version yet"),
  leaving: refusal(503, "The VM is leaving"),
  queue_full: refusal(503, "The upstream's queue is full"),
  queue_timeout: refusal(503, "The request waited too long for a slot"),
  shed: refusal(503, "The upstream did not start the request"),
  upstream_silent: refusal(503, "The upstream has stopped answering"),
  connect_failed: refusal(502, "The connection could not be opened"),
  cut: {
    status: 502,
    outcome: "unknown",
    message: "The connection broke; the request may have run",
  },
  answer_truncated: {
    status: 502,
    outcome: "unknown",
    message: "The response was incomplete; the request may have run",
  },
  deadline: {
    status: 504,
    outcome: "depends",
    message: "The deadline has passed",
  },
};

/** Whether a header value is one of the known reasons. */
export function isReason(value: string | undefined): value is Reason {
  return value !== undefined && Object.hasOwn(REFUSALS, value);
}

function refusal(status: number, message: string): RefusalText {
  return { status, outcome: "not_run", message };
}
