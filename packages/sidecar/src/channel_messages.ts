import { METHODS } from "node:http";
import type { ChannelMessage } from "@tanagercove/channel";
import {
  type OwnerState,
  type OwnerVerdict,
  verdictOf,
  verdictParts,
} from "./forwarding.ts";
import type { OwnedAnswer, OwnedRequest } from "./owner.ts";
import { isSendableAnswer, isSendableRequest } from "./sendable_heads.ts";

/** Encodes a request for another daemon. */
export function encodeRequest(
  { ticket, requestId, method, path, headers, body }: OwnedRequest,
): ChannelMessage {
  return {
    head: {
      numbers: [
        ticket.requestClass === "idempotent" ? 1 : 0,
        ticket.rank,
        Math.round(ticket.timeLeftMs),
        Math.round(ticket.objectiveLeftMs),
        ticket.isNested ? 1 : 0,
        ticket.mayWait ? 1 : 0,
        ticket.version,
      ],
      texts: [
        ticket.upstreamId,
        ticket.service,
        ticket.route,
        ticket.callerService,
        requestId,
        method,
        path,
        ...headers,
      ],
    },
    body,
  };
}

const REQUEST_NUMBERS = 7;
const REQUEST_TEXTS = 7;

/** Decodes a request of another daemon; undefined if it is malformed or cannot be passed on. */
export function decodeRequest(
  { head: { numbers, texts }, body, incoming }: ChannelMessage,
): OwnedRequest | undefined {
  const headers = texts.slice(REQUEST_TEXTS);
  const [upstreamId, service, route, callerService, requestId, method, path] =
    texts;
  if (
    numbers.length !== REQUEST_NUMBERS || texts.length < REQUEST_TEXTS ||
    headers.length % 2 !== 0 || requestId === "" ||
    !METHODS.includes(method!) || !isSendableRequest({ path: path!, headers })
  ) return undefined;
  return {
    ticket: {
      upstreamId: upstreamId!,
      service: service!,
      route: route!,
      requestClass: numbers[0] === 1 ? "idempotent" : "non_idempotent",
      rank: numbers[1]!,
      timeLeftMs: numbers[2]!,
      objectiveLeftMs: numbers[3]!,
      isNested: numbers[4] === 1,
      mayWait: numbers[5] === 1,
      callerService: callerService!,
      version: numbers[6]!,
    },
    requestId: requestId!,
    method: method!,
    path: path!,
    headers,
    body,
    ...(incoming && { incoming }),
  };
}

/** A verdict with the state of the daemon that gives it, and the upstream's answer if there is one. */
export interface AnswerParts {
  readonly verdict: OwnerVerdict;
  readonly state: OwnerState;
  readonly answer: OwnedAnswer | undefined;
}

/** Encodes what daemons of earlier versions do not read; undefined if there is nothing to tell. */
function encodeExtension(
  { load: { capacity }, isEvacuated = false }: OwnerState,
): readonly number[] | undefined {
  if (capacity === undefined && !isEvacuated) return undefined;
  return [
    capacity?.concurrencyLimit ?? NO_CAPACITY,
    capacity?.workRate ?? NO_CAPACITY,
    Math.round(capacity?.coldForMs ?? 0),
    capacity?.freeBodyBytes ?? 0,
    isEvacuated ? 1 : 0,
  ];
}

/** Stands for the limit and the work rate of an upstream whose capacity is not told. */
const NO_CAPACITY = 0;

const EXTENSION_NUMBERS = 5;

/** Adds an extension to a decoded state; a malformed one counts as none. */
function addExtension(
  state: OwnerState,
  extension: readonly number[] | undefined,
): OwnerState {
  if (extension === undefined || extension.length < EXTENSION_NUMBERS) {
    return state;
  }
  const [limit, workRate, coldForMs, freeBodyBytes, evacuated] = extension;
  const isEvacuated = evacuated === 1;
  if (!(limit! >= 1) || !(workRate! > 0)) return { ...state, isEvacuated };
  const capacity = {
    concurrencyLimit: limit!,
    workRate: workRate!,
    coldForMs: coldForMs!,
    freeBodyBytes: freeBodyBytes!,
  };
  return {
    ...state,
    load: { ...state.load, capacity },
    isEvacuated,
  };
}

/** Stands for an upstream without a limit. */
const NO_LIMIT = -1;

/** Encodes the answer to a request of another daemon. */
export function encodeAnswer(
  { verdict, state, answer }: AnswerParts,
): ChannelMessage {
  const { load, version, revision, isUpstreamLeaving } = state;
  const { kind, reason, reachedUpstream, timeMs } = verdictParts(verdict);
  const extension = encodeExtension(state);
  return {
    head: {
      numbers: [
        answer?.status ?? 0,
        Math.round(timeMs),
        reachedUpstream ? 1 : 0,
        load.running,
        load.slots,
        Math.round(load.serviceTimeMs),
        version,
        revision,
        isUpstreamLeaving ? 1 : 0,
        load.limitPerSecond ?? NO_LIMIT,
        Math.round(load.startDelayMs ?? 0),
        ...load.waitingByRank,
      ],
      texts: [kind, reason, ...answer?.headers ?? []],
      ...(extension && { extension }),
    },
    body: answer?.body,
  };
}

const ANSWER_NUMBERS = 11;
const ANSWER_TEXTS = 2;

/** Decodes the answer of another daemon; undefined if it is malformed. */
export function decodeAnswer(
  { head: { numbers, texts, extension }, body }: ChannelMessage,
): AnswerParts | undefined {
  const headers = texts.slice(ANSWER_TEXTS);
  const [kind, reason] = texts;
  const [status, timeMs, reached, running, slots, serviceTimeMs] = numbers;
  const [version, revision, leaving, limit, startDelayMs] = numbers.slice(6);
  if (numbers.length < ANSWER_NUMBERS || texts.length < ANSWER_TEXTS) {
    return undefined;
  }
  const verdict = verdictOf({
    kind: kind!,
    reason: reason!,
    reachedUpstream: reached === 1,
    timeMs: timeMs!,
  });
  if (verdict === undefined || headers.length % 2 !== 0) return undefined;
  const isAnswered = verdict.kind === "answered";
  if (isAnswered && !isSendableAnswer({ status: status!, headers })) {
    return undefined;
  }
  const answer = { status: status!, headers, body: body ?? Buffer.alloc(0) };
  return {
    verdict,
    state: addExtension({
      load: {
        running: running!,
        slots: Math.max(1, slots!),
        waitingByRank: numbers.slice(ANSWER_NUMBERS),
        serviceTimeMs: Math.max(1, serviceTimeMs!),
        limitPerSecond: limit! > 0 ? limit : undefined,
        startDelayMs,
      },
      isUpstreamLeaving: leaving === 1,
      version: version!,
      revision: revision!,
    }, extension),
    answer: isAnswered ? answer : undefined,
  };
}
