import { Result } from "true-myth";
import type { Vm } from "@tanagercove/types";
import type {
  AdmissionPort,
  BalancingPort,
  RetriesPort,
  UpstreamWatchPort,
} from "./ports.ts";

const MAX_ATTEMPTS = 3;

/** Chooses at random: in the own zone while an upstream is left there, then elsewhere. */
export function createPlainBalancing(): BalancingPort {
  return {
    observations: { begin() {}, end() {}, reportLoad() {} },
    choose({ candidates, ownZone, exclude, random }): Vm | undefined {
      const usable = candidates.filter(({ id }) => !exclude.has(id));
      const near = usable.filter(({ zone }) => zone === ownZone);
      const among = near.length > 0 ? near : usable;
      return among[Math.floor(random() * among.length)];
    },
  };
}

/** Admits at once while a slot is free and refuses otherwise. */
export function createPlainAdmission(slots: number): AdmissionPort {
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
export function createPlainUpstreamWatch(): UpstreamWatchPort {
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

/** Retries without a budget what did not run or is idempotent, if another upstream may do better. */
export function createPlainRetries(): RetriesPort {
  const elsewhere: ReadonlySet<string> = new Set([
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
      if (!elsewhere.has(reason)) return "give_up";
      return outcome === "not_run" || idempotent ? "retry" : "give_up";
    },
  };
}
