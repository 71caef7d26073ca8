import {
  type AdmissionVerdict,
  decideRankedAdmission,
} from "@tanagercove/admission";

/** Options of `decideBody`. */
export interface DecideBodyOptions {
  /** Time until the link takes the first bytes of the body. */
  readonly backlogMs: number;
  /** Time that the body takes on the link. */
  readonly transferMs: number;
  /** What admission says of the request at the time when its body has arrived. */
  readonly admission: AdmissionVerdict;
  /** Time that the request is expected to hold a slot. */
  readonly neededMs: number;
  readonly objectiveLeftMs: number;
  readonly timeLeftMs: number;
  readonly isNested: boolean;
  /** Whether the request may wait; if not, it is refused if other bodies are in front of it. */
  readonly mayWait: boolean;
}

/** Whether a body is received, and within which time its turn must come, or the request is refused without it. */
export type BodyVerdict =
  | { readonly kind: "receive"; readonly beginWithinMs: number }
  | Extract<AdmissionVerdict, { kind: "refuse" }>;

/** Backlog, in bodies of the same size, up to which the link counts as free. */
const FREE_BACKLOG_BODIES = 1;

/**
 * Decides whether the body of a forwarded request is received.
 *
 * Answers uploads that fill the link of a service with few upstreams: a link is room like a slot is. A request whose body
 * would arrive too late, or that would find no slot then, is refused while nothing of its body has been sent; another
 * upstream or a later retry may serve it, and the link is left to those that it can serve in time.
 */
export function decideBody(options: DecideBodyOptions): BodyVerdict {
  const { admission, backlogMs, transferMs, neededMs, timeLeftMs } = options;
  if (admission.kind === "refuse") return admission;
  const isFree = backlogMs <= FREE_BACKLOG_BODIES * transferMs;
  const lastBeginMs = timeLeftMs - transferMs - neededMs;
  const link = decideRankedAdmission({
    isLeaving: false,
    freeSlots: isFree ? 1 : 0,
    waitMs: backlogMs,
    neededMs: transferMs + neededMs,
    objectiveLeftMs: options.objectiveLeftMs,
    timeLeftMs,
    lateWaitingCount: 0,
    slots: 1,
    isNested: options.isNested,
    mayWait: options.mayWait,
  });
  if (link.kind === "refuse") return link;
  if (backlogMs > lastBeginMs) return { kind: "refuse", reason: "busy" };
  const beginWithinMs = link.kind === "wait" ? link.maxWaitMs : lastBeginMs;
  return { kind: "receive", beginWithinMs };
}
