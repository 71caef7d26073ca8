import type { PlatformError } from "./platform_error.ts";
import type { RpcError } from "./rpc_error.ts";

type Handlers<E extends { readonly kind: string }> = {
  readonly [K in E["kind"]]: (error: Extract<E, { kind: K }>) => string;
};

/** Longer error texts, such as those of a peer, are cut to this many characters; the rest adds nothing new. */
const MAX_SHOWN_LENGTH = 200;

const PLATFORM_MESSAGES: Handlers<PlatformError> = {
  timeout: ({ timeoutMs }) => `No response within ${timeoutMs} ms`,
  unreachable: ({ message }) => `Unreachable: ${shorten(message)}`,
  rate_limited: () => "Rate limit exceeded (429)",
  unavailable: ({ status }) => `Unavailable (${status})`,
  history_dropped: () => "The requested changes are no longer kept (410)",
  too_large: ({ maxBytes }) => `The answer exceeds ${maxBytes} bytes`,
  malformed: ({ message }) => `Malformed response: ${shorten(message)}`,
};

const RPC_MESSAGES: Handlers<RpcError> = {
  timeout: ({ timeoutMs }) => `No response within ${timeoutMs} ms`,
  unreachable: ({ message }) => `Unreachable: ${shorten(message)}`,
  busy: ({ openCalls }) => `Not sent: ${openCalls} calls are open already`,
  refused: ({ code, message }) => `Refused (${code}): ${shorten(message)}`,
  malformed: ({ message }) => `Malformed response: ${shorten(message)}`,
};

/** Describes in one line why a call to the platform failed. */
export function formatPlatformError(error: PlatformError): string {
  return (PLATFORM_MESSAGES[error.kind] as (error: PlatformError) => string)(
    error,
  );
}

/** Describes in one line why a call to another daemon failed. */
export function formatRpcError(error: RpcError): string {
  return (RPC_MESSAGES[error.kind] as (error: RpcError) => string)(error);
}

function shorten(text: string): string {
  return text.length <= MAX_SHOWN_LENGTH
    ? text
    : `${text.slice(0, MAX_SHOWN_LENGTH)}...`;
}
