import {
  type AnswerHead,
  type ExchangeEnd,
  unknownReasonOf,
} from "./exchange.ts";
import type { NotRunReason, UnknownReason } from "./forwarding.ts";
import type { RequestHeaderNames } from "./settings.ts";

const MISDIRECTED_STATUS = 421;

/** Verdict on a request, as concluded from the exchange with its upstream. */
export type UpstreamVerdict =
  | { readonly kind: "answered" }
  | {
    readonly kind: "not_run";
    readonly reason: NotRunReason;
    readonly reachedUpstream: boolean;
  }
  | { readonly kind: "unknown"; readonly reason: UnknownReason };

/** Options of `classifyUpstreamAnswer`. */
export interface ClassifyUpstreamAnswerOptions {
  readonly end: ExchangeEnd;
  readonly requestId: string;
  readonly names: RequestHeaderNames;
}

/** Options of `classifyUpstreamHead`. */
export interface ClassifyUpstreamHeadOptions {
  readonly head: AnswerHead;
  readonly requestId: string;
  readonly names: RequestHeaderNames;
}

/**
 * Decides whether an upstream has run a request. The verdict `not_run` is given
 * only if the upstream says so in a complete answer, or if no byte of the
 * request can have been sent.
 */
export function classifyUpstreamAnswer(
  { end, requestId, names }: ClassifyUpstreamAnswerOptions,
): UpstreamVerdict {
  if (end.kind === "failed") {
    if (!end.mayHaveBeenSent) {
      const reason = end.failure === "deadline" || end.failure === "cancelled"
        ? end.failure
        : "connect_failed";
      return { kind: "not_run", reason, reachedUpstream: false };
    }
    return { kind: "unknown", reason: unknownReasonOf(end.failure) };
  }
  return classifyUpstreamHead({ head: end, requestId, names });
}

/**
 * Decides what an answer with this head says once it is complete. An answer is
 * valid only with the id of this request, since a late answer to an earlier
 * request may arrive in its place. Only a 421 is valid without an id. A success
 * must also have the upstream's signature and no content encoding. An upstream
 * says by its `notRun` header or a 421 that it has not run the request.
 */
export function classifyUpstreamHead(
  { head: { status, headers }, requestId, names }: ClassifyUpstreamHeadOptions,
): UpstreamVerdict {
  if (headers[names.requestId] !== requestId) {
    // A 421 needs no id: it says that another upstream now has the address. It can't belong to an earlier request, since
    // a connection is closed after an answer without an id.
    if (
      status === MISDIRECTED_STATUS && headers[names.requestId] === undefined
    ) {
      return upstreamChanged();
    }
    return { kind: "unknown", reason: "malformed" };
  }
  if (status === MISDIRECTED_STATUS) return upstreamChanged();
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

function upstreamChanged(): UpstreamVerdict {
  return { kind: "not_run", reason: "upstream_changed", reachedUpstream: true };
}
