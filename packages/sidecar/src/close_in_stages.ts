import type { Socket } from "node:net";

/** Time in which a caller receives the last answer of a connection and closes it; it may be on a narrow link. */
const LINGER_MS = 2_000;

/**
 * Ends a connection, and releases it when the other side has closed it or after
 * `LINGER_MS`. If it were released at once, bytes of the other side that arrive
 * later would reset it, and the end of the last answer would be lost (section
 * 9.6 of RFC 9112).
 */
export function closeInStages(socket: Socket): void {
  if (socket.writableEnded || socket.destroyed) return;
  socket.end();
  const timer = setTimeout(() => socket.destroy(), LINGER_MS);
  socket.once("close", () => clearTimeout(timer));
}
