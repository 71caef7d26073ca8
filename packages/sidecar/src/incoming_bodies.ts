import type { BodyGrants, IncomingBody } from "@tanagercove/channel";
import { decideBody } from "./decide_body.ts";
import type { NotRunReason } from "./forwarding.ts";
import type { OwnedRequest, OwnedResult, OwnedRun, Owner } from "./owner.ts";
import type { BodyRoom } from "./upstream_bodies.ts";
import { NOT_SENT } from "./verdict_evidence.ts";

/** A forwarded request whose body has been announced and not sent. */
export interface AnnouncedRequest extends OwnedRequest {
  readonly incoming: IncomingBody;
}

/** Options of `IncomingBodies`. */
export interface IncomingBodiesOptions {
  readonly grants: Pick<BodyGrants, "backlogMs" | "transferMs">;
  readonly owner: Pick<Owner, "preview" | "reserveBody">;
  /** Monotonic time in milliseconds. */
  readonly nowMs?: () => number;
}

/** Receives the bodies of forwarded requests that this VM's upstream has room for. */
export class IncomingBodies {
  readonly #options: IncomingBodiesOptions;
  readonly #nowMs: () => number;
  #receiving = 0;
  #refusals = 0;

  constructor(options: IncomingBodiesOptions) {
    this.#options = options;
    this.#nowMs = options.nowMs ?? (() => performance.now());
  }

  /** Requests that were accepted and whose bodies have not arrived whole. */
  get receiving(): number {
    return this.#receiving;
  }

  /** Requests that were refused before anything of their bodies was sent. */
  get refusals(): number {
    return this.#refusals;
  }

  /** Receives the body of a request and then starts the request, or refuses it without its body. */
  run(
    request: AnnouncedRequest,
    start: (whole: OwnedRequest) => OwnedRun,
  ): OwnedRun {
    const { grants, owner } = this.#options;
    const { ticket, incoming: { sizeBytes } } = request;
    const backlogMs = grants.backlogMs(ticket.rank);
    const transferMs = grants.transferMs(sizeBytes);
    const preview = owner.preview(request, {
      readyMs: backlogMs + transferMs,
      announcedCount: this.#receiving,
    });
    const retryAfterMs = Math.max(preview.retryAfterMs, backlogMs);
    const verdict = decideBody({
      backlogMs,
      transferMs,
      admission: preview.verdict,
      neededMs: preview.neededMs,
      objectiveLeftMs: ticket.objectiveLeftMs,
      timeLeftMs: ticket.timeLeftMs,
      isNested: ticket.isNested,
      mayWait: ticket.mayWait,
    });
    const room = verdict.kind === "refuse"
      ? undefined
      : owner.reserveBody(sizeBytes);
    if (verdict.kind === "refuse" || room === undefined) {
      this.#refusals += 1;
      const reason = verdict.kind === "refuse" ? verdict.reason : "busy";
      const ended = Promise.resolve(refusedResult(reason, retryAfterMs));
      return { ended, cancel: () => {} };
    }
    return this.#receive(request, {
      start,
      room,
      retryAfterMs,
      beginWithinMs: verdict.beginWithinMs,
    });
  }

  #receive(
    { incoming, ...request }: AnnouncedRequest,
    { start, room, retryAfterMs, beginWithinMs }: {
      readonly start: (whole: OwnedRequest) => OwnedRun;
      readonly room: BodyRoom;
      readonly retryAfterMs: number;
      readonly beginWithinMs: number;
    },
  ): OwnedRun {
    const { ticket } = request;
    const announcedMs = this.#nowMs();
    let isCancelled = false;
    let run: OwnedRun | undefined;

    const receiveAndStart = async (): Promise<OwnedResult> => {
      try {
        this.#receiving += 1;
        const body = await incoming
          .receive({
            rank: ticket.rank,
            beginWithinMs,
            timeoutMs: ticket.timeLeftMs,
          })
          .finally(() => this.#receiving -= 1);
        if (isCancelled) return refusedResult("cancelled", 0);
        if (body === undefined) return refusedResult("busy", retryAfterMs);
        const elapsedMs = this.#nowMs() - announcedMs;
        run = start({
          ...request,
          body,
          bodyRoom: room,
          ticket: {
            ...ticket,
            timeLeftMs: ticket.timeLeftMs - elapsedMs,
            objectiveLeftMs: ticket.objectiveLeftMs - elapsedMs,
            // Another upstream would need the body once more.
            mayWait: true,
          },
        });
        return await run.ended;
      } finally {
        room.close();
      }
    };

    return {
      ended: receiveAndStart(),
      cancel() {
        isCancelled = true;
        run?.cancel();
      },
    };
  }
}

function refusedResult(
  reason: NotRunReason,
  retryAfterMs: number,
): OwnedResult {
  return {
    verdict: { kind: "not_run", reason, reachedUpstream: false, retryAfterMs },
    answer: undefined,
    evidence: NOT_SENT,
  };
}
