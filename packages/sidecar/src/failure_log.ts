import { LineLimit, logEvent, type Logger } from "@tanagercove/logs";
import type { Metrics } from "@tanagercove/metrics";
import type { UnreadableAnswer } from "./peer_client.ts";

/** Logs and counts failures that this daemon handles although it does not expect them; the lines are limited in rate. */
export interface FailureLog {
  onUnreadableAnswer(answer: UnreadableAnswer): void;
}

/** Options of `createFailureLog`. */
export interface CreateFailureLogOptions {
  readonly log: Logger;
  readonly metrics: Metrics;
}

/** Creates the log of handled failures. */
export function createFailureLog(
  { log, metrics }: CreateFailureLogOptions,
): FailureLog {
  const answerLimit = new LineLimit();
  return {
    onUnreadableAnswer({ destination, problem }) {
      metrics.counter("unreadable_daemon_answers").add();
      const unlogged_answers = answerLimit.take();
      if (unlogged_answers === undefined) return;
      logEvent(log, {
        event: "daemon_answer_unreadable",
        peer: `${destination.address}:${destination.port}`,
        problem,
        unlogged_answers,
      });
    },
  };
}
