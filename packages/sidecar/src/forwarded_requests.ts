import type { ReportedLoad } from "@tanagercove/placement";
import type { ForwardTicket, OwnerVerdict } from "./forwarding.ts";
import type { OwnedRequest, OwnedResult, OwnedRun, Owner } from "./owner.ts";

/** How a forwarded request ended at this daemon. */
export interface ForwardedResult {
  readonly requestId: string;
  readonly ticket: ForwardTicket;
  readonly verdict: OwnerVerdict;
  readonly load: ReportedLoad;
  readonly durationMs: number;
}

/** Options of `runForwarded`. */
export interface RunForwardedOptions {
  readonly owner: Pick<Owner, "run" | "load">;
  /** Whether a request with this ticket may still run on this VM's upstream. */
  readonly accepts: (ticket: ForwardTicket) => boolean;
  readonly onForwarded: (result: ForwardedResult) => void;
}

/** Runs a request of another daemon, or refuses it as leaving. */
export function runForwarded(
  request: OwnedRequest,
  { owner, accepts, onForwarded }: RunForwardedOptions,
): OwnedRun {
  const startedMs = performance.now();
  const { requestId, ticket } = request;
  const run = accepts(ticket) ? owner.run(request) : leavingRun();
  const ended = run.ended.then((result) => {
    onForwarded({
      requestId,
      ticket,
      verdict: result.verdict,
      load: owner.load(),
      durationMs: performance.now() - startedMs,
    });
    return result;
  });
  return { ended, cancel: () => run.cancel() };
}

function leavingRun(): OwnedRun {
  const result: OwnedResult = {
    verdict: {
      kind: "not_run",
      reason: "leaving",
      reachedUpstream: false,
      retryAfterMs: 0,
    },
    answer: undefined,
  };
  return { ended: Promise.resolve(result), cancel: () => {} };
}
