import type { Agent } from "node:http";
import type { Endpoint } from "@tanagercove/types";
import { startExchange } from "./exchange.ts";

/** A healthy upstream on the same VM answers within milliseconds, unless all its slots are in use. */
const TIMEOUT_MS = 500;

/** The answer to a health check is short. */
const MAX_ANSWER_BYTES = 64 * 1024;

/** Options of `fetchUpstreamId`. */
export interface FetchUpstreamIdOptions {
  readonly agent: Agent;
  readonly upstream: Endpoint;
  readonly localAddress: string;
  readonly healthPath: string;
  /** Name, in lower case, of the answer's header that holds the id. */
  readonly idHeader: string;
}

/** Fetches an upstream's id with a health check; undefined if the check fails or the answer has no id. */
export async function fetchUpstreamId(
  options: FetchUpstreamIdOptions,
): Promise<string | undefined> {
  const { address, port } = options.upstream;
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
  if (end.kind !== "answered" || end.status !== 200) return undefined;
  const id = end.headers[options.idHeader];
  return typeof id === "string" ? id : undefined;
}
