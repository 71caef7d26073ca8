import type { RequestClass } from "@tanagercove/types";
import type { OwnerVerdict } from "./forwarding.ts";
import type { RefusalReason } from "./refusals.ts";

/** Options of `decideNextStep`. */
export interface DecideNextStepOptions {
  readonly verdict: OwnerVerdict;
  /** Status of the upstream's answer, if there is one. */
  readonly status: number | undefined;
  readonly requestClass: RequestClass;
  /** Upstreams that have seen the request. */
  readonly upstreamsReached: number;
  readonly maxAttempts: number;
  readonly timeLeftMs: number;
  /** Time that another upstream is expected to take. */
  readonly neededMs: number;
  /** Whether an upstream that has not been tried is worth asking. */
  readonly hasUntried: () => boolean;
  /** Takes a token for a repeat; asked last, so that none is taken in vain. */
  readonly takeToken: () => boolean;
}

/** What to do after an attempt. */
export type NextStep =
  | { readonly kind: "deliver" }
  | { readonly kind: "try_another" }
  | { readonly kind: "refuse"; readonly reason: RefusalReason };

const NOT_RUN_REASONS: Readonly<
  Record<Extract<OwnerVerdict, { kind: "not_run" }>["reason"], RefusalReason>
> = {
  busy: "busy",
  deadline: "deadline_before_start",
  leaving: "no_upstream",
  cancelled: "deadline_before_start",
  upstream_refused: "upstream_refused",
  upstream_changed: "upstream_refused",
  connect_failed: "unreachable",
};

/**
 * Decides what follows an attempt. A request that an upstream may have run is
 * repeated only if it is idempotent, and one that an upstream has seen only
 * with a token. A daemon's own refusal costs nothing: no upstream saw it.
 */
export function decideNextStep(options: DecideNextStepOptions): NextStep {
  const { verdict, requestClass } = options;
  const last = lastStep(options);
  if (verdict.kind === "answered" && !isServerError(options.status)) {
    return last;
  }
  if (verdict.kind !== "not_run" && requestClass !== "idempotent") return last;
  if (verdict.kind !== "answered" && verdict.reason === "cancelled") {
    return last;
  }
  if (options.timeLeftMs < options.neededMs / 2) return last;
  if (!options.hasUntried()) return last;
  const wasReached = verdict.kind !== "not_run" || verdict.reachedUpstream;
  if (!wasReached) return { kind: "try_another" };
  if (options.upstreamsReached >= options.maxAttempts) return last;
  return options.takeToken() ? { kind: "try_another" } : last;
}

function lastStep({ verdict }: DecideNextStepOptions): NextStep {
  if (verdict.kind === "answered") return { kind: "deliver" };
  if (verdict.kind === "not_run") {
    return { kind: "refuse", reason: notRunReason(verdict) };
  }
  const reason = verdict.reason === "deadline" ? "deadline" : "cut";
  return { kind: "refuse", reason };
}

/** What a caller is told of a request that an upstream or its daemon did not run. */
export function notRunReason(
  { reason }: Extract<OwnerVerdict, { kind: "not_run" }>,
): RefusalReason {
  return NOT_RUN_REASONS[reason];
}

function isServerError(status: number | undefined): boolean {
  return status !== undefined && status >= 500;
}
