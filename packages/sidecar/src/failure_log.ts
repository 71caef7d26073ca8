import { LineLimit, logEvent, type Logger } from "@tanagercove/logs";
import type { ChannelProblem } from "@tanagercove/channel";
import type { Metrics } from "@tanagercove/metrics";
import type { UnreadableAnswer } from "./peer_client.ts";

/** Operations whose errors end neither the process nor other operations. */
export type FailedOperation =
  | "request"
  | "forwarded_request"
  | "catalog_sync"
  | "catch_up"
  | "fetch_upstream_id";

/** Logs and counts failures that this daemon handles although it does not expect them; the lines are limited in rate. */
export interface FailureLog {
  onUnreadableAnswer(answer: UnreadableAnswer): void;
  /** Logs that a connection to another daemon was closed because that one did not keep to the protocol. */
  onChannelClosed(
    closed: { readonly peer: string; readonly problem: ChannelProblem },
  ): void;
  /** Logs an error that was thrown during an operation, which a fault in this program allows. */
  onOperationFailed(operation: FailedOperation, error: unknown): void;
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
  const channelLimit = new LineLimit();
  const operationLimit = new LineLimit();
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
    onChannelClosed({ peer, problem }) {
      metrics.counter("channels_closed", { problem }).add();
      const unlogged_closes = channelLimit.take();
      if (unlogged_closes === undefined) return;
      logEvent(log, {
        event: "channel_closed",
        peer,
        problem,
        unlogged_closes,
      });
    },
    onOperationFailed(operation, error) {
      metrics.counter("failed_operations", { operation }).add();
      const unlogged_failures = operationLimit.take();
      if (unlogged_failures === undefined) return;
      const { message, stack } = error instanceof Error
        ? error
        : { message: String(error), stack: undefined };
      logEvent(log, {
        event: "operation_failed",
        operation,
        message,
        stack,
        unlogged_failures,
      });
    },
  };
}
