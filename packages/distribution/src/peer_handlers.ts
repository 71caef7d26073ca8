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

/** Options of `createPeerHandlers`: the functions that serve each RPC call. */
export interface PeerHandlersOptions {
  /** Processes a peer's digest and returns this daemon's digest. */
  readonly handleDigest: (theirs: Digest) => Digest;
  readonly handlePush: (push: Push) => unknown;
  readonly handleFetch: (request: FetchRequest) => FetchResponse;
  readonly addNotice: (notice: LeavingNotice) => void;
  /** Returns the response to `status.summary`; plain JSON. */
  readonly summary: () => unknown;
  readonly onMalformed: () => void;
}

/** Creates the handlers of RPC calls from other daemons; malformed parameters are refused. */
export function createPeerHandlers(options: PeerHandlersOptions): RpcHandlers {
  const withParsedParams = <T>(method: RpcMethod, steps: {
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
    "digest.exchange": withParsedParams("digest.exchange", {
      parse: parseDigest,
      handle: (theirs) => encodeDigest(options.handleDigest(theirs)),
    }),
    "versions.push": withParsedParams("versions.push", {
      parse: parsePush,
      handle: (push) => ({ verdict: options.handlePush(push) }),
    }),
    "versions.fetch": withParsedParams("versions.fetch", {
      parse: parseFetchRequest,
      handle: options.handleFetch,
    }),
    "membership.leaving": withParsedParams("membership.leaving", {
      parse: parseNotice,
      handle: (notice) => {
        options.addNotice(notice);
        return {};
      },
    }),
    "status.summary": () => Promise.resolve(Result.ok(options.summary())),
  };
}
