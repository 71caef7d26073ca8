import type { Socket } from "node:net";
import { Result } from "true-myth";
import { buildConnector, Client } from "undici";
import type { PlatformError } from "@tanagercove/errors";
import type { PlatformKey } from "@tanagercove/types";
import type {
  PlatformIndex,
  PlatformPort,
  PlatformValue,
  WatchIndexOptions,
} from "./platform_port.ts";

/** Options of `createHttpPlatform`. */
export interface CreateHttpPlatformOptions {
  /** Base URL, `http://IP:PORT`. */
  readonly url: string;
  /** Source address of outgoing connections. */
  readonly localAddress?: string;
  /** Timeout of a call, in addition to the wait of a long poll. */
  readonly timeoutMs?: number;
  /** Called with each connection that is opened, so that its bytes are counted as control traffic. */
  readonly onSocket?: (socket: Socket) => void;
}

const DEFAULT_TIMEOUT_MS = 500;
/** Values are at most 1 MB on the platform; JSON escapes can double that. */
const MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

/**
 * Reads the platform over HTTP. If a call times out, is aborted or loses its connection, the connection is closed and
 * the calls queued on it fail. The next call opens a new connection.
 */
export function createHttpPlatform(
  options: CreateHttpPlatformOptions,
): PlatformPort {
  const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  let client = openClient(options);

  async function get(
    path: string,
    limits: { readonly deadlineMs: number; readonly signal?: AbortSignal },
  ): Promise<Result<unknown, PlatformError>> {
    const requestClient = client;
    const deadline = AbortSignal.timeout(limits.deadlineMs);
    const signal = limits.signal === undefined
      ? deadline
      : AbortSignal.any([deadline, limits.signal]);
    try {
      const response = await requestClient.request({
        method: "GET",
        path,
        signal,
      });
      const body = await response.body.text();
      if (response.statusCode === 429) {
        return Result.err({ kind: "rate_limited" });
      }
      if (response.statusCode !== 200) {
        return Result.err({ kind: "unavailable", status: response.statusCode });
      }
      return parseJson(body);
    } catch (error) {
      replaceClient(requestClient);
      if (deadline.aborted) {
        return Result.err({ kind: "timeout", timeoutMs: limits.deadlineMs });
      }
      return Result.err({ kind: "unreachable", message: String(error) });
    }
  }

  function replaceClient(broken: Client): void {
    if (client !== broken) return;
    client = openClient(options);
    broken.destroy().catch(() => {});
  }

  return {
    async watchIndex({ afterRevision, waitMs, signal }: WatchIndexOptions) {
      const path =
        `/v1/index?after_revision=${afterRevision}&wait_ms=${waitMs}`;
      const body = await get(path, { deadlineMs: waitMs + timeoutMs, signal });
      return body.andThen(parseIndex);
    },
    async readValue(key: PlatformKey) {
      const body = await get(`/v1/values/${key}`, { deadlineMs: timeoutMs });
      return body.andThen((value) => parseValue(key, value));
    },
    async close() {
      await client.destroy();
    },
  };
}

function openClient(options: CreateHttpPlatformOptions): Client {
  const timeout = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  const connect = buildConnector({ timeout } as buildConnector.BuildOptions);
  return new Client(options.url, {
    localAddress: options.localAddress,
    pipelining: 1,
    maxResponseSize: MAX_RESPONSE_BYTES,
    connect: (target, callback) =>
      connect(target, (...[error, socket]) => {
        if (error !== null) return callback(error, null);
        options.onSocket?.(socket);
        callback(null, socket);
      }),
  });
}

function parseJson(text: string): Result<unknown, PlatformError> {
  try {
    return Result.ok(JSON.parse(text));
  } catch (error) {
    return Result.err({ kind: "malformed", message: String(error) });
  }
}

function isRevision(value: unknown): value is number {
  return typeof value === "number" && Number.isSafeInteger(value) && value >= 0;
}

function parseIndex(body: unknown): Result<PlatformIndex, PlatformError> {
  const index = body as Partial<PlatformIndex> | null;
  const keys = index?.keys;
  const revisions = [index?.revision, keys?.plans, keys?.allowances, keys?.vms];
  if (!revisions.every(isRevision)) {
    return Result.err({
      kind: "malformed",
      message: "Index has a missing or invalid revision",
    });
  }
  return Result.ok(index as PlatformIndex);
}

function parseValue(
  key: PlatformKey,
  body: unknown,
): Result<PlatformValue, PlatformError> {
  const value = body as Partial<PlatformValue> | null;
  if (
    value?.key !== key || !isRevision(value.revision) ||
    typeof value.value !== "string"
  ) {
    return Result.err({
      kind: "malformed",
      message: `Value of "${key}" has a missing or invalid field`,
    });
  }
  return Result.ok(value as PlatformValue);
}
