import type { ExchangeEnd } from "./exchange.ts";
import type { NotRunReason, UnknownReason } from "./forwarding.ts";
import type { RequestHeaderNames } from "./settings.ts";

const MISDIRECTED = 421;

/** What an upstream's answer means for the request. */
export type UpstreamVerdict =
  | { readonly kind: "answered" }
  | {
    readonly kind: "not_run";
    readonly reason: NotRunReason;
    readonly reachedUpstream: boolean;
  }
  | { readonly kind: "unknown"; readonly reason: UnknownReason };

/** Options of `judgeUpstreamAnswer`. */
export interface JudgeUpstreamAnswerOptions {
  readonly end: ExchangeEnd;
  readonly requestId: string;
  readonly names: RequestHeaderNames;
}

/**
 * Decides what an exchange with an upstream means. An answer counts only with
 * the id of this request, since a late answer to an earlier one may arrive in
 * its place, and a success only with the upstream's signature. "Not run" is
 * concluded only from the upstream's own word or when nothing can have left.
 */
export function judgeUpstreamAnswer(
  { end, requestId, names }: JudgeUpstreamAnswerOptions,
): UpstreamVerdict {
  if (end.kind === "failed") {
    if (!end.mayHaveLeft) {
      const reason = end.failure === "deadline" || end.failure === "cancelled"
        ? end.failure
        : "connect_failed";
      return { kind: "not_run", reason, reachedUpstream: false };
    }
    if (end.failure === "deadline" || end.failure === "cancelled") {
      return { kind: "unknown", reason: end.failure };
    }
    return { kind: "unknown", reason: "cut" };
  }
  const { headers, status } = end;
  if (headers[names.requestId] !== requestId) {
    // A refusal by another upstream at a reused address needs no id: it is the
    // first answer on its connection or follows answers of the same process.
    if (status === MISDIRECTED && headers[names.requestId] === undefined) {
      return misdirected();
    }
    return { kind: "unknown", reason: "malformed" };
  }
  if (status === MISDIRECTED) return misdirected();
  if (headers[names.notRun] !== undefined) {
    return {
      kind: "not_run",
      reason: "upstream_refused",
      reachedUpstream: true,
    };
  }
  const isSuccess = status >= 200 && status < 300;
  const isSigned = headers[names.signature] !== undefined;
  const isEncoded = headers["content-encoding"] !== undefined;
  if (isSuccess && (!isSigned || isEncoded)) {
    return { kind: "unknown", reason: "malformed" };
  }
  return { kind: "answered" };
}

function misdirected(): UpstreamVerdict {
  return { kind: "not_run", reason: "upstream_changed", reachedUpstream: true };
}
