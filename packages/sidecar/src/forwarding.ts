import type { RankedRefusal } from "@tanagercove/admission";
import type { ReportedLoad } from "@tanagercove/placement";
import type { RequestClass } from "@tanagercove/types";

/** Header of a request forwarded to another daemon; holds the encoded `ForwardTicket`. */
export const FORWARD_HEADER = "tanagercove-forward";

/** Header of the answer to a forwarded request; holds the encoded `OwnerVerdict` and `OwnerState`. */
export const OUTCOME_HEADER = "tanagercove-outcome";

/**
 * Decisions of the caller's daemon about a request, for the owner daemon (the daemon on the upstream's VM). Sent in
 * `FORWARD_HEADER`, unless the caller's daemon is itself the owner daemon.
 */
export interface ForwardTicket {
  readonly upstreamId: string;
  readonly service: string;
  readonly route: string;
  readonly requestClass: RequestClass;
  /** 0 is the most urgent. */
  readonly rank: number;
  readonly timeLeftMs: number;
  /** Time left of the latency objective, after which the answer has lost most of its value; negative once it has passed. */
  readonly objectiveLeftMs: number;
  /** Whether an upstream sends the request as part of handling another one. */
  readonly isNested: boolean;
  readonly callerService: string;
  /** Configuration version that the route comes from. */
  readonly version: number;
  /**
   * Whether the request may wait for a slot; if not, it is refused unless one is free. Sent in `NO_WAIT_HEADER`, since
   * daemons of earlier versions read a ticket only with the fields they know.
   */
  readonly mayWait: boolean;
}

/** Header of a forwarded request that may not wait for a slot. */
export const NO_WAIT_HEADER = "tanagercove-no-wait";

/** Why a request has certainly not run and will not run. */
export type NotRunReason =
  | RankedRefusal
  | "upstream_refused"
  | "upstream_changed"
  | "route_changed"
  | "connect_failed";

/** Why it is not known whether a request ran. */
export type UnknownReason =
  | "cut"
  | "deadline"
  | "malformed"
  | "too_large"
  | "cancelled";

/**
 * Whether a request ran: the upstream answered it, it has certainly not run, or it may have run. The owner daemon
 * decides this; the caller's daemon does if no valid verdict arrives from the owner daemon.
 */
export type OwnerVerdict =
  | { readonly kind: "answered"; readonly serviceMs: number }
  | {
    readonly kind: "not_run";
    readonly reason: NotRunReason;
    /** Whether the upstream received the request, which then counts as an attempt. */
    readonly reachedUpstream: boolean;
    /** Time after which the caller should retry; 0 if it is not known. */
    readonly retryAfterMs: number;
  }
  | { readonly kind: "unknown"; readonly reason: UnknownReason };

/** Header of the same answer, if there is something to tell; holds the encoded limit and leaving of the upstream. */
export const UPSTREAM_HEADER = "tanagercove-upstream";

/** Header of the same answer if the upstream's zone is evacuated. */
export const EVACUATED_HEADER = "tanagercove-evacuated";

/** State of the owner daemon, sent with each verdict. */
export interface OwnerState {
  readonly load: ReportedLoad;
  /** Whether the upstream that the request was for says that it is leaving. */
  readonly isUpstreamLeaving?: boolean;
  /** Whether the upstream's zone is evacuated, as far as the owner daemon knows. */
  readonly isEvacuated?: boolean;
  /** Configuration version that the daemon holds. */
  readonly version: number;
  /** Platform revision of the newest change that the daemon holds. */
  readonly revision: number;
}

/** Encodes a ticket as a header value. */
export function encodeTicket(ticket: ForwardTicket): string {
  return [
    encodeURIComponent(ticket.upstreamId),
    encodeURIComponent(ticket.service),
    encodeURIComponent(ticket.route),
    ticket.requestClass === "idempotent" ? 1 : 0,
    ticket.rank,
    Math.round(ticket.timeLeftMs),
    Math.round(ticket.objectiveLeftMs),
    ticket.isNested ? 1 : 0,
    encodeURIComponent(ticket.callerService),
    ticket.version,
  ].join(",");
}

/** Fields of a forwarded request, as alternating names and values. */
export function ticketHeaders(ticket: ForwardTicket): readonly string[] {
  const fields = [FORWARD_HEADER, encodeTicket(ticket)];
  if (!ticket.mayWait) fields.push(NO_WAIT_HEADER, "1");
  return fields;
}

/** Decodes a ticket that may wait; undefined if the field count, a number or a percent-encoding is wrong. */
export function decodeTicket(text: string): ForwardTicket | undefined {
  const parts = text.split(",");
  if (parts.length !== 10) return undefined;
  const numbers = [3, 4, 5, 6, 7, 9].map((i) => Number(parts[i]));
  if (!numbers.every(Number.isFinite)) return undefined;
  const [upstreamId, service, route, callerService] = [0, 1, 2, 8]
    .map((i) => decodePercentEncoding(parts[i]!));
  if (
    upstreamId === undefined || service === undefined ||
    route === undefined || callerService === undefined
  ) return undefined;
  return {
    upstreamId,
    service,
    route,
    requestClass: numbers[0] === 1 ? "idempotent" : "non_idempotent",
    rank: numbers[1]!,
    timeLeftMs: numbers[2]!,
    objectiveLeftMs: numbers[3]!,
    isNested: numbers[4] === 1,
    callerService,
    version: numbers[5]!,
    mayWait: true,
  };
}

/** Decodes a percent-encoded text; undefined if the encoding is invalid. */
function decodePercentEncoding(text: string): string | undefined {
  try {
    return decodeURIComponent(text);
  } catch {
    return undefined;
  }
}

/** Encodes a verdict and the daemon's state as a header value. */
export function encodeVerdict(
  verdict: OwnerVerdict,
  { load, version, revision }: OwnerState,
): string {
  const { kind, reason, reachedUpstream, timeMs } = verdictParts(verdict);
  return [
    kind,
    reason,
    reachedUpstream ? 1 : 0,
    Math.round(timeMs),
    load.running,
    load.slots,
    load.waitingByRank.join(":"),
    Math.round(load.serviceTimeMs),
    version,
    revision,
  ].join(",");
}

/** Parts of an encoded verdict. */
export interface VerdictParts {
  readonly kind: string;
  readonly reason: string;
  readonly reachedUpstream: boolean;
  /** Service time of an answer, or time after which to retry. */
  readonly timeMs: number;
}

/** Splits a verdict into its parts. */
export function verdictParts(verdict: OwnerVerdict): VerdictParts {
  return {
    kind: verdict.kind,
    reason: verdict.kind === "answered" ? "" : verdict.reason,
    reachedUpstream: verdict.kind === "not_run" && verdict.reachedUpstream,
    timeMs: verdict.kind === "answered"
      ? verdict.serviceMs
      : verdict.kind === "not_run"
      ? verdict.retryAfterMs
      : 0,
  };
}

/** Joins the parts of a verdict; undefined if its kind or reason is unknown. */
export function verdictOf(
  { kind, reason, reachedUpstream, timeMs }: VerdictParts,
): OwnerVerdict | undefined {
  return isVerdictKind(kind)
    ? VERDICTS[kind](reason, reachedUpstream, timeMs)
    : undefined;
}

/** Decodes a verdict; undefined if the text is malformed or its kind or reason is unknown. */
export function decodeVerdict(
  text: string,
): { readonly verdict: OwnerVerdict; readonly state: OwnerState } | undefined {
  const parts = text.split(",");
  if (parts.length !== 10) return undefined;
  const waitingByRank = parts[6]!.split(":").map(Number);
  const numbers = [3, 4, 5, 7, 8, 9].map((i) => Number(parts[i]));
  if (![...waitingByRank, ...numbers].every(Number.isFinite)) return undefined;
  const verdict = verdictOf({
    kind: parts[0]!,
    reason: parts[1]!,
    reachedUpstream: parts[2] === "1",
    timeMs: numbers[0]!,
  });
  if (verdict === undefined) return undefined;
  return {
    verdict,
    state: {
      load: {
        running: numbers[1]!,
        slots: Math.max(1, numbers[2]!),
        waitingByRank,
        serviceTimeMs: Math.max(1, numbers[3]!),
      },
      version: numbers[4]!,
      revision: numbers[5]!,
    },
  };
}

/**
 * Encodes what the upstream says of itself as the value of `UPSTREAM_HEADER`; undefined if it names no limit and is not
 * leaving. It has a header of its own because daemons of earlier versions read a verdict only with the fields they know.
 */
export function encodeUpstreamState(
  { load, isUpstreamLeaving }: OwnerState,
): string | undefined {
  const { limitPerSecond, startDelayMs = 0 } = load;
  if (limitPerSecond === undefined && isUpstreamLeaving !== true) {
    return undefined;
  }
  return [
    limitPerSecond ?? "",
    Math.round(startDelayMs),
    isUpstreamLeaving === true ? 1 : 0,
  ].join(",");
}

/** Adds the value of `UPSTREAM_HEADER` to a decoded state; a malformed value counts as none. */
export function addUpstreamState(
  state: OwnerState,
  text: string,
): OwnerState {
  const [limit, delay, leaving, ...rest] = text.split(",");
  if (leaving === undefined || rest.length > 0) return state;
  const limitPerSecond = limit === "" ? undefined : Number(limit);
  const startDelayMs = Number(delay);
  const isValidLimit = limitPerSecond === undefined ||
    limitPerSecond > 0 && limitPerSecond < Infinity;
  if (!isValidLimit || !Number.isFinite(startDelayMs)) return state;
  return {
    ...state,
    load: { ...state.load, limitPerSecond, startDelayMs },
    isUpstreamLeaving: leaving === "1",
  };
}

type DecodeVerdict = (
  reason: string,
  reachedUpstream: boolean,
  timeMs: number,
) => OwnerVerdict | undefined;

const VERDICTS: Readonly<Record<OwnerVerdict["kind"], DecodeVerdict>> = {
  answered: (_reason, _reached, serviceMs) => ({ kind: "answered", serviceMs }),
  not_run: (reason, reachedUpstream, retryAfterMs) =>
    isNotRunReason(reason)
      ? { kind: "not_run", reason, reachedUpstream, retryAfterMs }
      : undefined,
  unknown: (reason) =>
    isUnknownReason(reason) ? { kind: "unknown", reason } : undefined,
};

const NOT_RUN_REASONS: Readonly<Record<NotRunReason, true>> = {
  busy: true,
  deadline: true,
  leaving: true,
  cancelled: true,
  upstream_refused: true,
  upstream_changed: true,
  route_changed: true,
  connect_failed: true,
};

const UNKNOWN_REASONS: Readonly<Record<UnknownReason, true>> = {
  cut: true,
  too_large: true,
  deadline: true,
  malformed: true,
  cancelled: true,
};

function isVerdictKind(kind: string): kind is OwnerVerdict["kind"] {
  return Object.hasOwn(VERDICTS, kind);
}

function isNotRunReason(reason: string): reason is NotRunReason {
  return Object.hasOwn(NOT_RUN_REASONS, reason);
}

function isUnknownReason(reason: string): reason is UnknownReason {
  return Object.hasOwn(UNKNOWN_REASONS, reason);
}
