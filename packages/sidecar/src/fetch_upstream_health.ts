import type { Agent } from "node:http";
import type { Endpoint } from "@tanagercove/types";
import { startExchange } from "./exchange.ts";

/** A healthy upstream on the same VM answers within milliseconds, unless all its slots are in use. */
const TIMEOUT_MS = 500;

/** The answer to a health check is short. */
const MAX_ANSWER_BYTES = 64 * 1024;

/** What an upstream says in the answer to a health check. */
export interface UpstreamHealth {
  /** Undefined if the answer has no id or the upstream is not healthy. */
  readonly id: string | undefined;
  /** Time for which the upstream stays cold; undefined if it does not say so readably, or is not healthy. */
  readonly coldForMs: number | undefined;
  readonly isColdTimeUnreadable: boolean;
  /** Time of the monotonic clock at which the check began. */
  readonly askedAtMs: number;
}

/** Options of `fetchUpstreamHealth`. */
export interface FetchUpstreamHealthOptions {
  readonly agent: Agent;
  readonly upstream: Endpoint;
  readonly localAddress: string;
  readonly healthPath: string;
  /** Name, in lower case, of the answer's header that holds the id. */
  readonly idHeader: string;
  /** Name, in lower case, of the answer's header that holds the time for which the upstream stays cold. */
  readonly coldHeader: string;
}

/** Asks an upstream for its id and how long it stays cold with a health check; undefined if the check gets no answer. */
export async function fetchUpstreamHealth(
  options: FetchUpstreamHealthOptions,
): Promise<UpstreamHealth | undefined> {
  const { address, port } = options.upstream;
  const askedAtMs = performance.now();
  const end = await startExchange({
    agent: options.agent,
    destination: options.upstream,
    localAddress: options.localAddress,
    method: "GET",
    path: options.healthPath,
    headers: ["host", `${address}:${port}`],
    body: undefined,
    timeoutMs: TIMEOUT_MS,
    connectTimeoutMs: TIMEOUT_MS,
    maxAnswerBytes: MAX_ANSWER_BYTES,
    // The answer names no request, so it could not be told from the one to the next request on the connection.
    closesAfter: () => true,
  }).ended;
  if (end.kind !== "answered") return undefined;
  const isHealthy = end.status === 200;
  const id = end.headers[options.idHeader];
  const coldField = end.headers[options.coldHeader];
  const coldForMs = decodeColdMs(coldField);
  // An upstream that is not healthy may leave the field out, and does not show that it is warm.
  const isSilent = !isHealthy && coldForMs === 0;
  return {
    id: isHealthy && typeof id === "string" ? id : undefined,
    coldForMs: isSilent ? undefined : coldForMs,
    isColdTimeUnreadable: coldForMs === undefined,
    askedAtMs,
  };
}

/** Decodes the time for which an upstream stays cold; 0 without the field, undefined if it cannot be read. */
export function decodeColdMs(
  field: string | string[] | undefined,
): number | undefined {
  if (field === undefined) return 0;
  if (typeof field !== "string" || field.trim() === "") return undefined;
  const coldForMs = Number(field);
  return coldForMs >= 0 && coldForMs < Infinity ? coldForMs : undefined;
}
