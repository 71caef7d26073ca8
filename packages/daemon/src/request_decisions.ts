import { AdmissionQueue } from "@tanagercove/admission";
import { chooseUpstream, UpstreamObservations } from "@tanagercove/balancing";
import type {
  AdmissionPort,
  BalancingPort,
  RetriesPort,
} from "@tanagercove/proxy";
import { decideRetry, RetryBudget } from "@tanagercove/retries";
import type { Settings } from "@tanagercove/settings";
import type { Vm } from "@tanagercove/types";

/** The decisions that the request path asks for. */
export interface RequestDecisions {
  readonly balancing: BalancingPort;
  readonly admission: AdmissionPort;
  readonly retries: RetriesPort;
  /** Takes the VM list in force, so that state of VMs that left is dropped. */
  setVms(vms: readonly Vm[]): void;
}

/** Connects the decision packages to the ports of the request path. */
export function createRequestDecisions(settings: Settings): RequestDecisions {
  const { slowStartMs, ...upstream } = settings.upstream;
  const observations = new UpstreamObservations();
  // Upstreams of a deployment have the same slots; the list of VMs does not tell.
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
    admission: new AdmissionQueue(upstream),
    retries: {
      recordFirstAttempt: () => budget.recordFirstAttempt(),
      decide: (input) => decideRetry({ ...input, budget }),
    },
    setVms: (vms) => observations.setVms(vms),
  };
}
