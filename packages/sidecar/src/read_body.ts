import type { IncomingMessage } from "node:http";
import { type BodyFraming, bodyFraming } from "@tanagercove/headers";
import type { BodyLease } from "@tanagercove/memory";
import { Result } from "true-myth";
import { BodyBuffer } from "./body_buffer.ts";

/** Why a body was not read. */
export type BodyProblem =
  | "too_large"
  | "no_memory"
  | "too_late"
  | "gone"
  /** It has a coding that this daemon cannot remove. */
  | "coded"
  /** Its bytes arrive although the head says of none. */
  | "unannounced";

/** A complete body and the memory that it takes; the reader of the body gives the memory back. */
export interface ReadBody {
  /** Undefined if the request has none. */
  readonly body: Buffer | undefined;
  readonly lease: BodyLease | undefined;
}

/** Longest time of a timer of Node.js. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/** Options of `readBody`. */
export interface ReadBodyOptions {
  readonly maxBytes: number;
  /** What the head says of the body; read from the request by default. */
  readonly framing?: BodyFraming;
  /** Takes memory for a body; undefined if there is no room. */
  readonly reserve: (sizeBytes: number) => BodyLease | undefined;
  /** Time within which the body must be complete, as it holds its memory meanwhile; unlimited by default. */
  readonly timeoutMs?: number;
  /** Called before the body is read. */
  readonly onBegin?: () => void;
}

/**
 * Reads a complete body. Its memory is taken before its first byte is read, or as it grows if its length is not known.
 * Whether there is a body is up to Node's parser, whatever the head says: bytes of a body are never dropped.
 */
export function readBody(
  request: IncomingMessage,
  {
    maxBytes,
    framing = bodyFraming(request.headers),
    reserve,
    timeoutMs,
    onBegin,
  }: ReadBodyOptions,
): Promise<Result<ReadBody, BodyProblem>> {
  if (!framing.isExpected) return confirmNoBody(request);
  if (framing.isCoded) return Promise.resolve(Result.err("coded"));
  const { declaredBytes } = framing;
  if (declaredBytes > maxBytes) {
    return Promise.resolve(Result.err("too_large"));
  }
  const lease = reserve(declaredBytes);
  if (lease === undefined) return Promise.resolve(Result.err("no_memory"));
  onBegin?.();
  return new Promise((resolve) => {
    let isSettled = false;
    let hasRoom = true;
    const buffer = new BodyBuffer({
      maxBytes,
      declaredBytes,
      isReserved: true,
      onResize: () => {},
      hasMemory: (capacityBytes) =>
        hasRoom = capacityBytes <= lease.sizeBytes ||
          lease.resize(capacityBytes),
    });
    const timer = timeoutMs === undefined ? undefined : setTimeout(
      () => settle(Result.err("too_late")),
      Math.min(Math.max(0, timeoutMs), MAX_TIMER_MS),
    );

    function settle(result: Result<ReadBody, BodyProblem>): void {
      if (isSettled) return;
      isSettled = true;
      clearTimeout(timer);
      if (result.isErr) lease!.close();
      resolve(result);
    }

    request.on("data", (chunk: Buffer) => {
      if (isSettled || buffer.append(chunk)) return;
      settle(Result.err(hasRoom ? "too_large" : "no_memory"));
    });
    request.on("end", () => {
      if (!request.complete) return settle(Result.err("gone"));
      settle(Result.ok({ body: buffer.bytes(), lease }));
    });
    request.on("error", () => settle(Result.err("gone")));
    request.on("close", () => settle(Result.err("gone")));
  });
}

function confirmNoBody(
  request: IncomingMessage,
): Promise<Result<ReadBody, BodyProblem>> {
  return new Promise((resolve) => {
    request.once("data", () => resolve(Result.err("unannounced")));
    request.once("end", () =>
      resolve(
        request.complete
          ? Result.ok({ body: undefined, lease: undefined })
          : Result.err("gone"),
      ));
    request.once("error", () => resolve(Result.err("gone")));
    request.once("close", () => resolve(Result.err("gone")));
  });
}
