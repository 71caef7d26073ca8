import { Result } from "true-myth";
import type { LeavingNotice } from "@tanagercove/membership";
import {
  INVALID_PARAMS,
  type RpcHandlers,
  type RpcMethod,
  type RpcMethodHandler,
} from "@tanagercove/rpc";
import {
  type Digest,
  encodeDigest,
  type FetchRequest,
  type FetchResponse,
  parseDigest,
  parseFetchRequest,
  parseNotice,
  parsePush,
  type Push,
} from "./messages.ts";

/** What the calls of other daemons lead to. */
export interface PeerHandlersOptions {
  /** Takes a peer's digest and returns the own one. */
  readonly exchangeDigests: (theirs: Digest) => Digest;
  readonly receivePush: (push: Push) => unknown;
  readonly answerFetch: (request: FetchRequest) => FetchResponse;
  readonly takeNotice: (notice: LeavingNotice) => void;
  /** Plain JSON. */
  readonly summary: () => unknown;
  readonly onMalformed: () => void;
}

/** Creates the handlers of the calls of other daemons; parameters of another form are refused. */
export function createPeerHandlers(options: PeerHandlersOptions): RpcHandlers {
  const parsed = <T>(method: RpcMethod, steps: {
    readonly parse: (params: unknown) => T | undefined;
    readonly handle: (message: T) => unknown;
  }): RpcMethodHandler =>
  (params) => {
    const message = steps.parse(params);
    if (message !== undefined) {
      return Promise.resolve(Result.ok(steps.handle(message)));
    }
    options.onMalformed();
    return Promise.resolve(Result.err({
      code: INVALID_PARAMS,
      message: `Parameters of "${method}" have another form than expected`,
    }));
  };
  return {
    "digest.exchange": parsed("digest.exchange", {
      parse: parseDigest,
      handle: (theirs) => encodeDigest(options.exchangeDigests(theirs)),
    }),
    "versions.push": parsed("versions.push", {
      parse: parsePush,
      handle: (push) => ({ verdict: options.receivePush(push) }),
    }),
    "versions.fetch": parsed("versions.fetch", {
      parse: parseFetchRequest,
      handle: options.answerFetch,
    }),
    "membership.leaving": parsed("membership.leaving", {
      parse: parseNotice,
      handle: (notice) => {
        options.takeNotice(notice);
        return {};
      },
    }),
    "status.summary": () => Promise.resolve(Result.ok(options.summary())),
  };
}
