/** Methods that daemons call on each other. */
export type RpcMethod =
  | "digest.exchange"
  | "versions.push"
  | "versions.fetch"
  | "membership.leaving"
  | "status.summary";

/** Path of the calls on the peer port. */
export const RPC_PATH = "/rpc";

const DEFAULT_TIMEOUT_MS = 1_000;

/** Time that a call of each method may take, from its start to the last byte of its response. */
export const TIMEOUT_MS_BY_METHOD: Readonly<Record<RpcMethod, number>> = {
  "digest.exchange": DEFAULT_TIMEOUT_MS,
  "versions.push": DEFAULT_TIMEOUT_MS,
  // A whole snapshot has up to 2 MB.
  "versions.fetch": 3_000,
  "membership.leaving": DEFAULT_TIMEOUT_MS,
  "status.summary": DEFAULT_TIMEOUT_MS,
};

/** Tells whether a word is one of the methods. */
export function isRpcMethod(word: unknown): word is RpcMethod {
  return typeof word === "string" && Object.hasOwn(TIMEOUT_MS_BY_METHOD, word);
}
