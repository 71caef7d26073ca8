import type { Catalog } from "@tanagercove/catalog";
import { type MemoryBudget, requestHeapBytes } from "@tanagercove/memory";
import type { ReportedLoad } from "@tanagercove/placement";
import type {
  ForwardTicket,
  NotRunReason,
  OwnerVerdict,
} from "./forwarding.ts";
import type { IncomingBodies } from "./incoming_bodies.ts";
import type { OwnedRequest, OwnedResult, OwnedRun, Owner } from "./owner.ts";
import { isTakenForIdempotent } from "./request_class.ts";
import { NOT_SENT, type VerdictEvidence } from "./verdict_evidence.ts";

/**
 * Time after which the caller of a request whose route has changed may come back; its daemon fetches the newer version
 * meanwhile.
 */
const ROUTE_CHANGED_RETRY_MS = 500;

/** How a forwarded request ended at this daemon. */
export interface ForwardedResult {
  readonly requestId: string;
  readonly ticket: ForwardTicket;
  readonly verdict: OwnerVerdict;
  readonly load: ReportedLoad;
  readonly durationMs: number;
  readonly evidence?: VerdictEvidence;
}

/** Options of `runForwarded`. */
export interface RunForwardedOptions {
  readonly owner: Pick<Owner, "run" | "load">;
  readonly memory: Pick<MemoryBudget, "heads">;
  /** Whether a request may run on this VM's upstream. */
  readonly accepts: (request: OwnedRequest) => boolean;
  readonly catalog: Pick<Catalog, "index">;
  /** Receives bodies that have been announced; needed only where they may be. */
  readonly incomingBodies?: Pick<IncomingBodies, "run">;
  readonly onForwarded: (result: ForwardedResult) => void;
}

/** Runs a request of another daemon, or refuses it: as leaving, or since its route has changed. */
export function runForwarded(
  request: OwnedRequest,
  options: RunForwardedOptions,
): OwnedRun {
  const { owner, onForwarded } = options;
  const startedMs = performance.now();
  const { requestId, ticket } = request;
  const release = options.memory.heads.hold(
    "forwarded_heads",
    requestHeapBytes(request),
  );
  const run = startWithRoom(request, { ...options, release });
  const ended = run.ended.finally(release).then((result) => {
    onForwarded({
      requestId,
      ticket,
      verdict: result.verdict,
      ...(result.evidence && { evidence: result.evidence }),
      load: owner.load(),
      durationMs: performance.now() - startedMs,
    });
    return result;
  });
  return { ended, cancel: () => run.cancel() };
}

/** Starts a request if there is heap for it. */
function startWithRoom(
  request: OwnedRequest,
  { release, ...options }: RunForwardedOptions & {
    readonly release: (() => void) | undefined;
  },
): OwnedRun {
  if (release === undefined) return refusedRun("busy", 0);
  try {
    return startForwarded(request, options);
  } catch (error) {
    release();
    throw error;
  }
}

/** Decides on a request when it comes, and once more when its body has been received. */
function startForwarded(
  request: OwnedRequest,
  options: RunForwardedOptions,
): OwnedRun {
  const { owner, accepts, catalog, incomingBodies } = options;
  const { incoming } = request;
  if (!accepts(request)) return refusedRun("leaving", 0);
  if (isTakenForIdempotent(request, catalog.index)) {
    return refusedRun("route_changed", ROUTE_CHANGED_RETRY_MS);
  }
  if (incoming === undefined) return owner.run(request);
  if (incomingBodies === undefined) return refusedRun("busy", 0);
  return incomingBodies.run(
    { ...request, incoming },
    (whole) => startForwarded(whole, options),
  );
}

function refusedRun(reason: NotRunReason, retryAfterMs: number): OwnedRun {
  const result: OwnedResult = {
    verdict: { kind: "not_run", reason, reachedUpstream: false, retryAfterMs },
    answer: undefined,
    evidence: NOT_SENT,
  };
  return { ended: Promise.resolve(result), cancel: () => {} };
}
