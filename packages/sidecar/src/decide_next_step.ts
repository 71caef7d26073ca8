import type { RequestClass } from "@tanagercove/types";
import type { OwnerVerdict } from "./forwarding.ts";
import type { RefusalReason } from "./refusals.ts";

/** Options of `decideNextStep`. */
export interface DecideNextStepOptions {
  readonly verdict: OwnerVerdict;
  /** Status of the upstream's answer, if there is one. */
  readonly status: number | undefined;
  readonly requestClass: RequestClass;
  /** Number of upstreams that have or may have received the request, including this attempt's. */
  readonly upstreamsReached: number;
  readonly maxAttempts: number;
  readonly timeLeftMs: number;
  /**
   * Time that another upstream is expected to take: the service time predicted for this attempt's upstream. A retry
   * needs at least half of this time.
   */
  readonly neededMs: number;
  /** Whether there is an untried upstream that is worth trying. */
  readonly hasUntried: () => boolean;
  /** Takes a token of the retry budget; called last, so that no token is taken for a retry that is not made. */
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
  route_changed: "route_changed",
  connect_failed: "unreachable",
};

/**
 * Decides what follows an attempt. A request that an upstream may have run is
 * retried only if it is idempotent. If the upstream of this attempt has or may
 * have received the request, a retry takes a token of the retry budget and is
 * limited by `maxAttempts`. An attempt that did not reach the upstream, such as
 * one that a daemon refused, put no load on the upstream: the retry after it
 * takes no token and is not limited by `maxAttempts`.
 */
export function decideNextStep(options: DecideNextStepOptions): NextStep {
  const { verdict, requestClass } = options;
  const final = stepWithoutRetry(options);
  if (verdict.kind === "answered" && !isServerError(options.status)) {
    return final;
  }
  if (verdict.kind !== "not_run" && requestClass !== "idempotent") return final;
  // Another daemon may hold the older version too, and would run the request as an idempotent one.
  if (verdict.kind === "not_run" && verdict.reason === "route_changed") {
    return final;
  }
  if (verdict.kind !== "answered" && verdict.reason === "cancelled") {
    return final;
  }
  if (options.timeLeftMs < options.neededMs / 2) return final;
  if (!options.hasUntried()) return final;
  const wasReached = verdict.kind !== "not_run" || verdict.reachedUpstream;
  if (!wasReached) return { kind: "try_another" };
  if (options.upstreamsReached >= options.maxAttempts) return final;
  return options.takeToken() ? { kind: "try_another" } : final;
}

function stepWithoutRetry({ verdict }: DecideNextStepOptions): NextStep {
  if (verdict.kind === "answered") return { kind: "deliver" };
  if (verdict.kind === "not_run") {
    return { kind: "refuse", reason: refusalReasonOf(verdict) };
  }
  const reason = verdict.reason === "deadline" ? "deadline" : "cut";
  return { kind: "refuse", reason };
}

/** Maps the reason why a request did not run to the refusal that the caller gets. */
export function refusalReasonOf(
  { reason }: Extract<OwnerVerdict, { kind: "not_run" }>,
): RefusalReason {
  return NOT_RUN_REASONS[reason];
}

function isServerError(status: number | undefined): boolean {
  return status !== undefined && status >= 500;
}
