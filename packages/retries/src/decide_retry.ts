import type { Outcome, Reason } from "@tanagercove/types";
import type { RetryBudget } from "./retry_budget.ts";

/** Options of `decideRetry`. */
export interface DecideRetryOptions {
  readonly outcome: Outcome;
  /** Undefined for an answered request. */
  readonly reason: Reason | undefined;
  readonly idempotent: boolean;
  /** Attempts made so far, including the first one. */
  readonly attempt: number;
  readonly timeLeftMs: number;
  /** A token is taken only if the verdict is "retry". */
  readonly budget: Pick<RetryBudget, "tryTake">;
}

/** Whether to retry after an attempt. */
export type RetryVerdict = "retry" | "give_up";

/** First attempt and two retries. */
export const MAX_ATTEMPTS = 3;

/**
 * Minimum time left for a retry. A new connection and the hop to the upstream's VM take about 1 ms each, so no answer
 * can arrive sooner.
 */
export const MIN_RETRY_TIME_MS = 2;

/**
 * Reasons, by outcome, after which another upstream may still answer. Refusals
 * caused by the request, the lists or this daemon would only be repeated.
 */
const RETRYABLE_REASONS: Readonly<Record<Outcome, ReadonlySet<Reason>>> = {
  answered: new Set(),
  not_run: new Set<Reason>([
    "connect_failed",
    "leaving",
    "queue_full",
    "queue_timeout",
    "shed",
    "starting",
    "upstream_silent",
  ]),
  unknown: new Set<Reason>(["answer_truncated", "cut", "deadline"]),
};

/**
 * Decides whether to retry a request after an attempt without an answer.
 * A request that may have run is retried only if it is idempotent.
 */
export function decideRetry(options: DecideRetryOptions): RetryVerdict {
  const { outcome, reason, idempotent, budget } = options;
  if (reason === undefined) return "give_up";
  if (!RETRYABLE_REASONS[outcome].has(reason)) return "give_up";
  if (outcome !== "not_run" && !idempotent) return "give_up";
  if (options.attempt >= MAX_ATTEMPTS) return "give_up";
  if (options.timeLeftMs < MIN_RETRY_TIME_MS) return "give_up";
  return budget.tryTake() ? "retry" : "give_up";
}
