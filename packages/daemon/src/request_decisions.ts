import {
  AdmissionQueue,
  type SilenceChange,
  UpstreamWatch,
} from "@tanagercove/admission";
import {
  chooseUpstream,
  type EjectionChange,
  UpstreamObservations,
} from "@tanagercove/balancing";
import type {
  AdmissionPort,
  BalancingPort,
  RetriesPort,
  UpstreamWatchPort,
} from "@tanagercove/proxy";
import { LineLimit, logEvent, type Logger } from "@tanagercove/logs";
import { decideRetry, RetryBudget } from "@tanagercove/retries";
import type { Settings } from "@tanagercove/settings";
import type { Vm } from "@tanagercove/types";

/** The components that decide for the request path. */
export interface RequestDecisions {
  readonly balancing: BalancingPort;
  readonly admission: AdmissionPort;
  readonly upstreamWatch: UpstreamWatchPort;
  readonly retries: RetriesPort;
  /** VM ids of the upstreams that are ejected now, for `dump`. */
  ejected(): readonly string[];
  /**
   * Sets the VM list in force. State of a VM that is no longer in it is dropped once the VM has no request in
   * flight.
   */
  setVms(vms: readonly Vm[]): void;
}

/** Options of `createRequestDecisions`. */
export interface CreateRequestDecisionsOptions {
  readonly settings: Settings;
  readonly log: Logger;
}

/** Assembles balancing, admission, upstream watch and retries for the interfaces that the request path uses. */
export function createRequestDecisions(
  { settings, log }: CreateRequestDecisionsOptions,
): RequestDecisions {
  const { slowStartMs, ...upstream } = settings.upstream;
  const ejectionLines = new LineLimit();
  const silenceLines = new LineLimit();
  const observations = new UpstreamObservations({
    onChange: (change) => logEjection(change, { log, lines: ejectionLines }),
  });
  const admission = new AdmissionQueue(upstream);
  const upstreamWatch = new UpstreamWatch({
    slots: upstream.slots,
    onChange(change) {
      logSilence(change, { log, lines: silenceLines });
      // Refuses the requests in the queue now, while they still have time to be served by another upstream.
      if (change.state === "silent") admission.refuseWaiting("upstream_silent");
    },
  });
  // The VM list does not contain the number of slots of other upstreams. All upstreams of a deployment have
  // the same number of slots, so the setting of this VM is used for each.
  const saturatedInFlight = upstream.slots;
  const budget = new RetryBudget();
  return {
    balancing: {
      observations,
      choose: (input) =>
        chooseUpstream({
          ...input,
          observations,
          slowStartMs,
          saturatedInFlight,
        }),
    },
    admission,
    upstreamWatch,
    ejected: () => observations.ejected(),
    retries: {
      recordFirstAttempt: () => budget.recordFirstAttempt(),
      decide: (input) => decideRetry({ ...input, budget }),
    },
    setVms: (vms) => observations.setVms(vms),
  };
}

interface LimitedLog {
  readonly log: Logger;
  readonly lines: LineLimit;
}

function logSilence(change: SilenceChange, { log, lines }: LimitedLog): void {
  const unlogged_changes = lines.take();
  if (unlogged_changes === undefined) return;
  if (change.state === "answering") {
    const silent_ms = Math.round(change.silentMs);
    const event = "upstream_answers";
    return logEvent(log, { event, silent_ms, unlogged_changes });
  }
  logEvent(log, {
    event: "upstream_silent",
    unlogged_changes,
    awaited_ms: Math.round(change.awaitedMs),
    unanswered_requests: change.unansweredCount,
    probe: change.probe,
  });
}

function logEjection(change: EjectionChange, { log, lines }: LimitedLog): void {
  const unlogged_changes = lines.take();
  if (unlogged_changes === undefined) return;
  const fields = { upstream_vm_id: change.vmId, unlogged_changes };
  if (change.kind === "ejected") {
    const { cause } = change;
    return logEvent(log, { event: "upstream_ejected", ...fields, cause });
  }
  const ejected_ms = Math.round(change.ejectedMs);
  logEvent(log, { event: "upstream_returned", ...fields, ejected_ms });
}
