import { Result } from "true-myth";
import type { Reason } from "@tanagercove/types";
import type { ActiveRequest } from "./connection_tracker.ts";

/** Options of `readRequestBody`. */
export interface ReadRequestBodyOptions {
  readonly maxBytes: number;
  readonly size: number | "unknown";
}

/** Reads a body completely; the error is undefined if the sender disconnected. */
export function readRequestBody(
  active: ActiveRequest,
  { maxBytes, size }: ReadRequestBodyOptions,
): Promise<Result<Buffer | undefined, Reason | undefined>> {
  if (size !== "unknown" && size > maxBytes) {
    return Promise.resolve(Result.err("body_too_large"));
  }
  const { request } = active;
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    const end = (result: Result<Buffer | undefined, Reason | undefined>) => {
      delete active.failBody;
      request.off("data", onData);
      resolve(result);
    };
    const onData = (chunk: Buffer) => {
      chunks.push(chunk);
      sizeBytes += chunk.length;
      if (sizeBytes > maxBytes) end(Result.err("body_too_large"));
    };
    active.failBody = (reason) => end(Result.err(reason));
    request.on("data", onData);
    request.once("end", () => {
      const body = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
      end(request.complete ? Result.ok(body) : Result.err(undefined));
    });
    request.once("close", () => end(Result.err(undefined)));
  });
}
