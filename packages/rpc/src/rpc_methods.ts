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

type Fields = Readonly<Record<string, unknown>>;

function fieldsOf(value: unknown): Fields {
  return typeof value === "object" && value !== null ? value as Fields : {};
}

const bySender = (message: unknown) => fieldsOf(fieldsOf(message).sender).vm_id;
const byItself = (message: unknown) => fieldsOf(message).vm_id;

/** Where the messages of each method name the VM that speaks: the caller's, and the answering one's. */
const SPEAKER_BY_METHOD: Readonly<
  Record<RpcMethod, {
    readonly params?: (params: unknown) => unknown;
    readonly result?: (result: unknown) => unknown;
  }>
> = {
  "digest.exchange": { params: bySender, result: bySender },
  "versions.push": { params: bySender },
  "versions.fetch": { params: bySender },
  "membership.leaving": { params: byItself },
  "status.summary": { result: byItself },
};

/** Gives the id of the VM that a message claims to come from, if it claims any. */
export function speakerOf(
  method: RpcMethod,
  message: { readonly params: unknown } | { readonly result: unknown },
): string | undefined {
  const speaker = SPEAKER_BY_METHOD[method];
  const vmId = "params" in message
    ? speaker.params?.(message.params)
    : speaker.result?.(message.result);
  return typeof vmId === "string" ? vmId : undefined;
}

/** Tells whether a word is one of the methods. */
export function isRpcMethod(word: unknown): word is RpcMethod {
  return typeof word === "string" && Object.hasOwn(TIMEOUT_MS_BY_METHOD, word);
}
