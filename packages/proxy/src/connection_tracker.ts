import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import {
  setImmediate as nextTurn,
  setTimeout as sleep,
} from "node:timers/promises";
import type { Reason } from "@tanagercove/types";
import { refusalMessage, refuse } from "./write_response.ts";

/** A received request whose response is not complete yet. */
export interface ActiveRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Whether the sender disconnected before its response was complete. */
  cancelled: boolean;
  /** Called when the sender disconnects before its response is complete. */
  onCancel?: () => void;
  /** Stops reading the body; absent while no body is read. */
  failBody?: (reason: Reason) => void;
}

/** Tracks requests in flight by connection. */
export interface ConnectionTracker {
  /** Registers a request until its response closes. */
  track(request: IncomingMessage, response: ServerResponse): ActiveRequest;
  /**
   * Resolves when no connection or request has arrived for `quietMs`, or after `timeoutMs`. Requests
   * that wait unread in the kernel at that moment are read before it resolves.
   */
  whenQuiet(options: WhenQuietOptions): Promise<void>;
  /** Closes connections on which not a single byte was received. */
  closeUnused(): void;
  /** Resolves to true when no request is active, or to false after the timeout. */
  whenIdle(timeoutMs: number): Promise<boolean>;
  /** Closes the connections of all active requests. */
  closeActive(): void;
}

/** Options of `ConnectionTracker.whenQuiet`. */
export interface WhenQuietOptions {
  readonly quietMs: number;
  readonly timeoutMs: number;
}

/** Error of a server's `clientError` event: a parse error, a socket error or a timeout. */
interface FramingError extends NodeJS.ErrnoException {
  readonly rawPacket?: Buffer;
  /** Bytes of the packet before the error. */
  readonly bytesParsed?: number;
}

const REASON_BY_CODE: Readonly<
  Record<string, (error: FramingError) => Reason>
> = {
  HPE_HEADER_OVERFLOW: () => "headers_too_large",
  HPE_INVALID_METHOD: (error) =>
    isRequestLine(error) ? "method_unknown" : "bad_request",
  ERR_HTTP_REQUEST_TIMEOUT: () => "request_timeout",
};

/** Time for a refused sender to read the response before its connection closes. */
const LINGER_MS = 500;

/** Tracks a server's connections. Answers framing errors, CONNECT and unknown expectations with a 4xx response. */
export function trackConnections(server: Server): ConnectionTracker {
  const activeBySocket = new Map<Socket, Set<ActiveRequest>>();
  const failed = new WeakSet<Socket>();
  let activeCount = 0;
  let arrivalCount = 0;
  let onIdle: (() => void) | undefined;

  function activeOn(socket: Socket): Set<ActiveRequest> {
    const known = activeBySocket.get(socket);
    if (known !== undefined) return known;
    const active = new Set<ActiveRequest>();
    activeBySocket.set(socket, active);
    socket.once("close", () => {
      activeBySocket.delete(socket);
      for (const entry of active) end(entry, active);
    });
    return active;
  }

  function end(entry: ActiveRequest, active: Set<ActiveRequest>): void {
    if (!active.delete(entry)) return;
    activeCount -= 1;
    if (!entry.response.writableFinished) {
      entry.cancelled = true;
      entry.onCancel?.();
    }
    if (activeCount === 0) onIdle?.();
  }

  server.on("connection", (socket) => {
    arrivalCount += 1;
    activeOn(socket);
  });
  server.on("clientError", (error: FramingError, socket: Socket) => {
    if (failed.has(socket)) return;
    failed.add(socket);
    if (!socket.writable || error.code === "ECONNRESET") {
      socket.destroy();
      return;
    }
    const reason = REASON_BY_CODE[error.code ?? ""]?.(error) ?? "bad_request";
    const active = [...activeOn(socket)];
    const incomplete = active.find(({ request }) => !request.complete);
    if (incomplete !== undefined) {
      if (incomplete.failBody !== undefined) incomplete.failBody(reason);
      return;
    }
    // Earlier requests on the connection keep their own responses: a refusal
    // instead would report `not_run` for a request that may have run.
    const last = active.at(-1);
    if (last === undefined) return writeRaw(socket, reason);
    last.response.once("finish", () => writeRaw(socket, reason));
  });
  server.on("connect", (_request, socket: Socket) => {
    writeRaw(socket, "method_unknown");
  });
  server.on("checkExpectation", (request, response) => {
    refuse({ request, response, outcome: "not_run", reason: "bad_request" });
  });

  return {
    track(request, response) {
      const entry: ActiveRequest = { request, response, cancelled: false };
      const active = activeOn(request.socket);
      active.add(entry);
      activeCount += 1;
      arrivalCount += 1;
      response.once("close", () => end(entry, active));
      return entry;
    },
    async whenQuiet({ quietMs, timeoutMs }) {
      const endAtMs = performance.now() + timeoutMs;
      let arrivedBefore: number;
      do {
        arrivedBefore = arrivalCount;
        await sleep(
          Math.min(quietMs, Math.max(0, endAtMs - performance.now())),
        );
        // If this process was delayed, the timer fires before pending sockets are read.
        await nextTurn();
        await nextTurn();
      } while (arrivalCount > arrivedBefore && performance.now() < endAtMs);
    },
    closeUnused() {
      for (const socket of activeBySocket.keys()) {
        if (socket.bytesRead === 0) socket.destroy();
      }
    },
    whenIdle(timeoutMs) {
      if (activeCount === 0) return Promise.resolve(true);
      return new Promise((resolve) => {
        const timer = setTimeout(() => resolve(false), timeoutMs);
        onIdle = () => {
          clearTimeout(timer);
          resolve(true);
        };
      });
    },
    closeActive() {
      for (const [socket, active] of activeBySocket) {
        if (active.size > 0) socket.destroy();
      }
    },
  };
}

/** Whether the line that the parser rejected is a request line with an unknown method. */
function isRequestLine({ rawPacket, bytesParsed }: FramingError): boolean {
  const text = rawPacket?.toString("latin1") ?? "";
  const start = text.lastIndexOf("\n", bytesParsed) + 1;
  return /^[A-Z-]+ \S+ HTTP\/1\.\d\r?\n/i.test(text.slice(start));
}

function writeRaw(socket: Socket, reason: Reason): void {
  if (!socket.writable) {
    socket.destroy();
    return;
  }
  socket.end(refusalMessage(reason));
  const timer = setTimeout(() => socket.destroy(), LINGER_MS);
  socket.once("close", () => clearTimeout(timer));
  socket.resume();
}
