import {
  ChannelClient,
  type ChannelEnd,
  type ChannelFailure,
  type ChannelMessage,
  type ChannelRun,
  type RequestOrigin,
} from "@tanagercove/channel";
import type { Endpoint } from "@tanagercove/types";
import {
  decodeAnswer,
  decodeRequest,
  encodeAnswer,
  encodeRequest,
} from "./channel_messages.ts";
import {
  runForwarded,
  type RunForwardedOptions,
} from "./forwarded_requests.ts";
import type {
  NotRunReason,
  OwnerState,
  OwnerVerdict,
  UnknownReason,
} from "./forwarding.ts";
import type {
  ForwardOptions,
  ForwardResult,
  ForwardRun,
  PeerClient,
  UnreadableAnswer,
} from "./peer_client.ts";
import { evidenceOfLostVerdict } from "./verdict_evidence.ts";

/** Time after the deadline in which the owner daemon's verdict may still arrive: only it says whether the request ran. */
const VERDICT_GRACE_MS = 40;

/** Time for which requests go to a daemon over HTTP that does not listen on the port of the channel. */
const WITHOUT_CHANNEL_MS = 5_000;

/** Options of `createChannelForwarder`. */
export interface CreateChannelForwarderOptions {
  readonly client: ChannelClient;
  /** Port of the channel; the same on all VMs. */
  readonly port: number;
  /** Forwards over HTTP, which daemons of versions without the channel understand. */
  readonly http: Pick<PeerClient, "forward">;
  readonly onUnreadable: (answer: UnreadableAnswer) => void;
}

/** Creates the function that forwards requests over the channel, or over HTTP to a daemon without it. */
export function createChannelForwarder(
  { client, port, http, onUnreadable }: CreateChannelForwarderOptions,
): PeerClient["forward"] {
  const withoutChannelUntilMs = new Map<string, number>();

  return (options) => {
    const { destination, request, onSilent } = options;
    const { address } = destination;
    const nowMs = performance.now();
    if ((withoutChannelUntilMs.get(address) ?? 0) > nowMs) {
      return http.forward(options);
    }
    withoutChannelUntilMs.delete(address);
    const { ticket } = request;
    const exchange = client.send({
      destination: { address, port },
      message: encodeRequest(request),
      timeoutMs: ticket.timeLeftMs + VERDICT_GRACE_MS,
      isIdempotent: ticket.requestClass === "idempotent",
      onSilent,
    });
    let isCancelled = false;
    let cancel = () => exchange.cancel();
    const ended = exchange.ended.then((end) => {
      const failure = end.kind === "failed" ? end.failure : undefined;
      const takesHttp = failure === "connect_refused" ||
        failure === "head_too_large";
      if (!takesHttp || isCancelled) return forwardResult(destination, end);
      const sentAgainMs = performance.now();
      if (failure === "connect_refused") {
        withoutChannelUntilMs.set(address, sentAgainMs + WITHOUT_CHANNEL_MS);
      }
      const run = http.forward(laterOptions(options, sentAgainMs - nowMs));
      cancel = () => run.cancel();
      return run.ended;
    });
    return {
      ended,
      cancel() {
        isCancelled = true;
        cancel();
      },
    } satisfies ForwardRun;
  };

  function forwardResult(
    destination: Endpoint,
    end: ChannelEnd,
  ): ForwardResult {
    if (end.kind === "failed") {
      return {
        verdict: failedVerdict(end),
        answer: undefined,
        state: undefined,
        evidence: evidenceOfLostVerdict(end),
      };
    }
    const decoded = decodeAnswer(end.message);
    if (decoded !== undefined) return decoded;
    onUnreadable({ destination, problem: "Unexpected answer on the channel" });
    const verdict: OwnerVerdict = { kind: "unknown", reason: "malformed" };
    return { verdict, answer: undefined, state: undefined };
  }
}

/** The same request some time later. */
function laterOptions(
  options: ForwardOptions,
  elapsedMs: number,
): ForwardOptions {
  const { ticket } = options.request;
  return {
    ...options,
    request: {
      ...options.request,
      ticket: {
        ...ticket,
        timeLeftMs: ticket.timeLeftMs - elapsedMs,
        objectiveLeftMs: ticket.objectiveLeftMs - elapsedMs,
      },
    },
  };
}

/** Reasons of exchanges of which nothing was sent. */
const NOT_SENT_REASONS: Readonly<Record<ChannelFailure, NotRunReason>> = {
  connect_refused: "connect_failed",
  connect_failed: "connect_failed",
  head_too_large: "connect_failed",
  cut: "connect_failed",
  too_large: "connect_failed",
  deadline: "deadline",
  cancelled: "cancelled",
};

/** Reasons of exchanges that may have been sent. */
const SENT_REASONS: Readonly<Record<ChannelFailure, UnknownReason>> = {
  connect_refused: "cut",
  connect_failed: "cut",
  head_too_large: "cut",
  cut: "cut",
  too_large: "too_large",
  deadline: "deadline",
  cancelled: "cancelled",
};

function failedVerdict(
  { failure, mayHaveBeenSent }: Extract<ChannelEnd, { kind: "failed" }>,
): OwnerVerdict {
  if (mayHaveBeenSent) {
    return { kind: "unknown", reason: SENT_REASONS[failure] };
  }
  return {
    kind: "not_run",
    reason: NOT_SENT_REASONS[failure],
    reachedUpstream: false,
    retryAfterMs: 0,
  };
}

/** Options of `createChannelHandler`. */
export interface CreateChannelHandlerOptions extends RunForwardedOptions {
  /** State of this daemon and of the upstream with an id, which is that of this VM or was. */
  readonly state: (upstreamId: string) => OwnerState;
  /** Called with the error of a request that ends without an answer. */
  readonly onHandlerFailed: (error: unknown) => void;
}

/** Handles the requests that arrive over the channel. */
export interface ChannelHandler {
  handle(request: ChannelMessage, origin: RequestOrigin): ChannelRun;
  /** Answer to a request that was not read, since its body would take too much memory. */
  answerRefusedBody(): ChannelMessage;
  /** Answer to a request whose own answer has a head that the channel does not carry. */
  answerLargeHead(): ChannelMessage;
}

/** Creates the handler of requests that arrive over the channel. */
export function createChannelHandler(
  options: CreateChannelHandlerOptions,
): ChannelHandler {
  function run(message: ChannelMessage, origin: RequestOrigin): ChannelRun {
    const decoded = decodeRequest(message);
    if (decoded === undefined) {
      const verdict: OwnerVerdict = { kind: "unknown", reason: "malformed" };
      const state = options.state("");
      const answer = encodeAnswer({ verdict, state, answer: undefined });
      return { ended: Promise.resolve(answer), cancel: () => {} };
    }
    const request = { ...decoded, callerAddress: origin.address };
    const { upstreamId } = request.ticket;
    const forwarded = runForwarded(request, options);
    const ended = forwarded.ended.then((result) =>
      encodeAnswer({ ...result, state: options.state(upstreamId) })
    );
    return { ended, cancel: () => forwarded.cancel() };
  }

  return {
    handle(message, origin) {
      try {
        const { ended, cancel } = run(message, origin);
        return {
          ended: ended.catch((error) => {
            options.onHandlerFailed(error);
            return undefined;
          }),
          cancel,
        };
      } catch (error) {
        options.onHandlerFailed(error);
        return { ended: Promise.resolve(undefined), cancel: () => {} };
      }
    },
    answerLargeHead: () =>
      encodeAnswer({
        verdict: { kind: "unknown", reason: "too_large" },
        state: options.state(""),
        answer: undefined,
      }),
    answerRefusedBody: () =>
      encodeAnswer({
        verdict: {
          kind: "not_run",
          reason: "busy",
          reachedUpstream: false,
          retryAfterMs: 0,
        },
        state: options.state(""),
        answer: undefined,
      }),
  };
}
