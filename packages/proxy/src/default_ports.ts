import { Result } from "true-myth";
import type { Vm } from "@tanagercove/types";
import type {
  AdmissionPort,
  BalancingPort,
  RetriesPort,
  UpstreamWatchPort,
} from "./ports.ts";

const MAX_ATTEMPTS = 3;

/** Chooses at random among the upstreams in the caller's zone or, if none is left there, among all. */
export function createDefaultBalancing(): BalancingPort {
  return {
    observations: { begin() {}, end() {}, reportLoad() {} },
    choose({ candidates, ownZone, exclude, random }): Vm | undefined {
      const usable = candidates.filter(({ id }) => !exclude.has(id));
      const inOwnZone = usable.filter(({ zone }) => zone === ownZone);
      const choices = inOwnZone.length > 0 ? inOwnZone : usable;
      return choices[Math.floor(random() * choices.length)];
    },
  };
}

/** Admits at once while a slot is free and refuses otherwise. After `setLeaving`, refuses every request. */
export function createDefaultAdmission(slots: number): AdmissionPort {
  let running = 0;
  let leaving = false;
  return {
    admit() {
      if (leaving) return Promise.resolve(Result.err("leaving"));
      if (running >= slots) return Promise.resolve(Result.err("queue_full"));
      running += 1;
      return Promise.resolve(Result.ok({
        release() {
          running -= 1;
        },
      }));
    },
    setLeaving() {
      leaving = true;
    },
    close: () => Promise.resolve(),
  };
}

/** Admits every request to the upstream. */
export function createDefaultUpstreamWatch(): UpstreamWatchPort {
  return {
    isSilent: false,
    onProbeRequested() {},
    admits: () => true,
    begin() {},
    end() {},
    probeStarted() {},
    probeEnded() {},
    state: () => ({ silent: false }),
    close() {},
  };
}

/**
 * Retries a request that did not run or is idempotent, if the reason of the failure leaves a chance that another
 * attempt is answered. `MAX_ATTEMPTS` limits the attempts of one request; the share of requests that are retried has
 * no limit.
 */
export function createDefaultRetries(): RetriesPort {
  const retryableReasons: ReadonlySet<string> = new Set([
    "connect_failed",
    "leaving",
    "shed",
    "queue_full",
    "queue_timeout",
    "no_upstream",
    "upstream_silent",
    "cut",
    "answer_truncated",
  ]);
  return {
    recordFirstAttempt() {},
    decide({ outcome, reason, idempotent, attempt, timeLeftMs }) {
      if (attempt >= MAX_ATTEMPTS || timeLeftMs <= 0) return "give_up";
      if (!retryableReasons.has(reason)) return "give_up";
      return outcome === "not_run" || idempotent ? "retry" : "give_up";
    },
  };
}
