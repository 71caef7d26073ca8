import type { Result } from "true-myth";
import type { Outcome, Reason, Vm } from "@tanagercove/types";

/** Result of one attempt, as reported to `ObservationsPort`. */
export type AttemptResult =
  | "ok"
  | "failed"
  | "not_run"
  | "silent"
  | "unreachable"
  | "cancelled";

/** Receives the attempts on upstreams and the loads that upstreams report, for use in the choice of upstream. */
export interface ObservationsPort {
  begin(vmId: string): void;
  end(
    vmId: string,
    attempt: { readonly result: AttemptResult; readonly latencyMs: number },
  ): void;
  reportLoad(vmId: string, load: number): void;
}

/** Options of a choice of upstream. */
export interface ChooseUpstreamInput {
  readonly candidates: readonly Vm[];
  readonly ownZone: string;
  readonly exclude: ReadonlySet<string>;
  readonly nowMs: number;
  readonly random: () => number;
}

/** Chooses an upstream. An implementation may base the choice on what `observations` has received. */
export interface BalancingPort {
  readonly observations: ObservationsPort;
  choose(input: ChooseUpstreamInput): Vm | undefined;
}

/** Why admission refused a request. */
export type AdmissionRefusal =
  | "queue_full"
  | "queue_timeout"
  | "leaving"
  | "upstream_silent"
  | "deadline";

/** Options of one admission. */
export interface AdmitInput {
  readonly idempotent: boolean;
  /** Time left until the request's deadline. */
  readonly deadlineMs: number;
  readonly signal: AbortSignal;
}

/** Admits requests to the slots of this VM's upstream. */
export interface AdmissionPort {
  admit(
    input: AdmitInput,
  ): Promise<Result<{ release(): void }, AdmissionRefusal>>;
  setLeaving(): void;
  close(): Promise<void>;
}

/** Observes whether the upstream of this VM answers. */
export interface UpstreamWatchPort {
  /** Whether the upstream counts as silent; its health is then probed more often. */
  readonly isSilent: boolean;
  /** Sets the callback that starts a health probe ahead of schedule. */
  onProbeRequested(startProbe: () => void): void;
  /**
   * Whether a request may go to the upstream. While the upstream is silent, single requests are admitted from time
   * to time, as trials of whether the upstream answers again; each `true` then counts as a trial.
   */
  admits(request: { readonly idempotent: boolean }): boolean;
  begin(): void;
  end(result: "answered" | "failed" | "abandoned", durationMs: number): void;
  probeStarted(): void;
  probeEnded(answered: boolean): void;
  /** Plain JSON for `dump` and `/metrics`. */
  state(): { readonly silent: boolean };
  close(): void;
}

/** What a retry decision depends on. */
export interface RetryInput {
  readonly outcome: Exclude<Outcome, "answered">;
  readonly reason: Reason;
  readonly idempotent: boolean;
  /** Number of the attempt that ended, from 1. */
  readonly attempt: number;
  readonly timeLeftMs: number;
}

/**
 * Decides whether a failed attempt is retried. First attempts are recorded so that retries can be limited to a share
 * of them.
 */
export interface RetriesPort {
  recordFirstAttempt(): void;
  decide(input: RetryInput): "retry" | "give_up";
}
