import type { ClientRequest } from "node:http";

/** Options of `limitHeadBytes`. */
export interface LimitHeadBytesOptions {
  readonly maxBytes: number;
  readonly onExceeded: () => void;
}

/**
 * Limits the bytes that arrive before the end of the response's head, with all interim responses. Node's own limit
 * starts anew with each interim response, and leaves out blank lines and leading spaces of a value.
 */
export function limitHeadBytes(
  request: ClientRequest,
  { maxBytes, onExceeded }: LimitHeadBytesOptions,
): void {
  let receivedBytes = 0;
  let hasHead = false;
  function countBytes(chunk: Buffer): void {
    receivedBytes += chunk.length;
    if (!hasHead && receivedBytes > maxBytes) onExceeded();
  }
  request.once("response", () => hasHead = true);
  request.once("socket", (socket) => {
    // Added after the listener of Node's HTTP parser, so that a head which ends in this chunk has been parsed.
    socket.on("data", countBytes);
    request.once("close", () => socket.off("data", countBytes));
  });
}
