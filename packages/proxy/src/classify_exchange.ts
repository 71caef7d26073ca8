import type { Outcome, Reason } from "@tanagercove/types";
import type { AnswerHead } from "./answer_head.ts";
import { isReason } from "./refusals.ts";

/** What is at the other end of an exchange. */
export type HopKind = "peer" | "upstream";

/** Why an exchange ended without a complete answer. */
export type ExchangeFailure =
  | "connection"
  | "deadline"
  | "cancelled"
  | "invalid_request";

/** What is known of an exchange at its end. */
export interface ClassifyExchangeOptions {
  readonly hop: HopKind;
  /** Whether a connection was chosen for writing; from then on bytes may have left. */
  readonly requestBegan: boolean;
  /** Undefined for a complete answer. */
  readonly failure: ExchangeFailure | undefined;
  /** Head of the answer, if it was received completely. */
  readonly head: AnswerHead | undefined;
}

/** Outcome of an exchange; the reason is absent for `answered`. */
export type Verdict =
  | { readonly outcome: "answered" }
  | {
    readonly outcome: Exclude<Outcome, "answered">;
    readonly reason: Reason;
  };

const REPORTED: Readonly<
  Record<HopKind, (head: AnswerHead) => Verdict | undefined>
> = {
  peer(head) {
    if (head.outcome === "answered") return undefined;
    const reason = isReason(head.reason) ? head.reason : undefined;
    if (head.outcome === "not_run") {
      return { outcome: "not_run", reason: reason ?? "no_upstream" };
    }
    // A head without an outcome is not from a daemon, so nothing is certain.
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
 * left this daemon or if the other end declared it in a complete head.
 */
export function classifyExchange(options: ClassifyExchangeOptions): Verdict {
  const { hop, requestBegan, failure, head } = options;
  const reported = head && REPORTED[hop](head);
  if (reported !== undefined) return reported;
  if (failure === undefined && head !== undefined) {
    // The end of a response that only the end of the connection delimits looks
    // the same whether the sender finished or was killed.
    return head.delimited
      ? { outcome: "answered" }
      : { outcome: "unknown", reason: "answer_truncated" };
  }
  if (!requestBegan) return { outcome: "not_run", reason: unsent(failure) };
  if (failure === "deadline") return { outcome: "unknown", reason: "deadline" };
  return {
    outcome: "unknown",
    reason: head === undefined ? "cut" : "answer_truncated",
  };
}

function unsent(failure: ExchangeFailure | undefined): Reason {
  if (failure === "deadline") return "deadline";
  return failure === "invalid_request" ? "bad_request" : "connect_failed";
}
