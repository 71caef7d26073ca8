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

/**
 * Time that a call of each method may take: at the caller from its start to the last byte of its response,
 * at the server from the complete request to the end of the response.
 */
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

const vmIdOfSender = (message: unknown) =>
  fieldsOf(fieldsOf(message).sender).vm_id;
const vmIdOfMessage = (message: unknown) => fieldsOf(message).vm_id;

/** Reads the VM id that each method's messages claim: the caller's in `params`, the responder's in `result`. */
const VM_ID_GETTER_BY_METHOD: Readonly<
  Record<RpcMethod, {
    readonly params?: (params: unknown) => unknown;
    readonly result?: (result: unknown) => unknown;
  }>
> = {
  "digest.exchange": { params: vmIdOfSender, result: vmIdOfSender },
  "versions.push": { params: vmIdOfSender },
  "versions.fetch": { params: vmIdOfSender },
  "membership.leaving": { params: vmIdOfMessage },
  "status.summary": { result: vmIdOfMessage },
};

/** Returns the id of the VM that a message claims to come from, if any. */
export function claimedVmIdOf(
  method: RpcMethod,
  message: { readonly params: unknown } | { readonly result: unknown },
): string | undefined {
  const getter = VM_ID_GETTER_BY_METHOD[method];
  const vmId = "params" in message
    ? getter.params?.(message.params)
    : getter.result?.(message.result);
  return typeof vmId === "string" ? vmId : undefined;
}

/** Whether a value is the name of a method. */
export function isRpcMethod(value: unknown): value is RpcMethod {
  return typeof value === "string" &&
    Object.hasOwn(TIMEOUT_MS_BY_METHOD, value);
}
