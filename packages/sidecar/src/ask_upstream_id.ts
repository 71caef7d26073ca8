import type { Agent } from "node:http";
import type { Endpoint } from "@tanagercove/types";
import { startExchange } from "./exchange.ts";

/** A healthy upstream on the same VM answers within milliseconds, unless all its slots are taken. */
const TIMEOUT_MS = 500;

/** An answer to a question for health is short. */
const MAX_ANSWER_BYTES = 64 * 1024;

/** Options of `askUpstreamId`. */
export interface AskUpstreamIdOptions {
  readonly agent: Agent;
  readonly upstream: Endpoint;
  readonly localAddress: string;
  readonly healthPath: string;
  /** Header of the answer that holds the id, in lower case. */
  readonly idHeader: string;
}

/** Asks an upstream for its health and id; undefined unless it says that it is healthy. */
export async function askUpstreamId(
  options: AskUpstreamIdOptions,
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
  }).ended;
  if (end.kind !== "answered" || end.status !== 200) return undefined;
  const id = end.headers[options.idHeader];
  return typeof id === "string" ? id : undefined;
}
