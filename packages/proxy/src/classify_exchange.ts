import type { Outcome, Reason } from "@tanagercove/types";
import type { ResponseHead } from "./response_head.ts";
import { isReason } from "./refusals.ts";

/** What is at the other end of an exchange. */
export type HopKind = "peer" | "upstream";

/** Why an exchange ended without a complete response. */
export type ExchangeFailure =
  | "connection"
  | "deadline"
  | "cancelled"
  | "invalid_request";

/** What is known about an exchange at its end. */
export interface ClassifyExchangeOptions {
  readonly hop: HopKind;
  /** Whether a connection was chosen for writing; from then on bytes may have been sent. */
  readonly requestBegan: boolean;
  /** Undefined for a response that is complete or still being received. */
  readonly failure: ExchangeFailure | undefined;
  /** Head of the response, if it was received completely. */
  readonly head: ResponseHead | undefined;
}

/** Outcome of an exchange; the reason is absent for `answered`. */
export type Verdict =
  | { readonly outcome: "answered" }
  | {
    readonly outcome: Exclude<Outcome, "answered">;
    readonly reason: Reason;
  };

const REPORTED_VERDICT_BY_HOP: Readonly<
  Record<HopKind, (head: ResponseHead) => Verdict | undefined>
> = {
  peer(head) {
    if (head.outcome === "answered") return undefined;
    const reason = isReason(head.reason) ? head.reason : undefined;
    if (head.outcome === "not_run") {
      return { outcome: "not_run", reason: reason ?? "no_upstream" };
    }
    // The other daemon reported `unknown`, or the head has no outcome and is
    // not from a daemon. In both cases the request may have run.
    return { outcome: "unknown", reason: reason ?? "cut" };
  },
  upstream(head) {
    return head.status === 503 && head.notStarted
      ? { outcome: "not_run", reason: "shed" }
      : undefined;
  },
};

/**
 * Decides the outcome of an exchange. It is `not_run` only if no byte can have
 * been sent, or if the other end reported it in a complete head.
 */
export function classifyExchange(options: ClassifyExchangeOptions): Verdict {
  const { hop, requestBegan, failure, head } = options;
  const reported = head && REPORTED_VERDICT_BY_HOP[hop](head);
  if (reported !== undefined) return reported;
  if (failure === undefined && head !== undefined) {
    // If only the end of the connection delimits a response, a complete one
    // looks the same as one whose sender was killed.
    return head.delimited
      ? { outcome: "answered" }
      : { outcome: "unknown", reason: "answer_truncated" };
  }
  if (!requestBegan) return { outcome: "not_run", reason: reasonFor(failure) };
  if (failure === "deadline") return { outcome: "unknown", reason: "deadline" };
  return {
    outcome: "unknown",
    reason: head === undefined ? "cut" : "answer_truncated",
  };
}

/** Reason of an exchange that failed before its request began. */
function reasonFor(failure: ExchangeFailure | undefined): Reason {
  if (failure === "deadline") return "deadline";
  return failure === "invalid_request" ? "bad_request" : "connect_failed";
}
