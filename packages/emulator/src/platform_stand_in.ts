import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import type { PlatformKey } from "@tanagercove/types";

/** Options of `startPlatformStandIn`. */
export interface StartPlatformStandInOptions {
  readonly host?: string;
  readonly port?: number;
  /** Calls a second that are answered; above it, 429. */
  readonly callsPerSecond?: number;
  readonly values?: Partial<Record<PlatformKey, string>>;
}

/** How the stand-in answers: as it should, not at all (503), or with an older state. */
export type PlatformMode = "normal" | "outage" | "stale";

/** A running stand-in for the platform. */
export interface PlatformStandIn {
  readonly url: string;
  readonly revision: number;
  /** Publishes one value, as an operator does, and returns the store's new revision. */
  publish(key: PlatformKey, value: string): number;
  /** In `stale`, answers come from the state at the time of the call. */
  setMode(mode: PlatformMode): void;
  /** Calls answered or refused so far. */
  readonly callCount: number;
  readonly rateLimitedCount: number;
  close(): Promise<void>;
}

interface StoreState {
  readonly revision: number;
  readonly revisions: Readonly<Record<PlatformKey, number>>;
  readonly values: Readonly<Record<PlatformKey, string>>;
}

const DEFAULT_CALLS_PER_SECOND = 2_000;

/** Starts a platform stand-in over HTTP with the calls of docs/design.md. */
export async function startPlatformStandIn(
  options: StartPlatformStandInOptions = {},
): Promise<PlatformStandIn> {
  const callsPerSecond = options.callsPerSecond ?? DEFAULT_CALLS_PER_SECOND;
  let state: StoreState = {
    revision: 1,
    revisions: { plans: 1, allowances: 1, vms: 1 },
    values: { plans: "", allowances: "", vms: "", ...options.values },
  };
  let staleState = state;
  let mode: PlatformMode = "normal";
  let callCount = 0;
  let rateLimitedCount = 0;
  let tokens = callsPerSecond;
  let refilledAtMs = performance.now();
  const waiting = new Set<() => void>();

  function takeToken(): boolean {
    const nowMs = performance.now();
    tokens = Math.min(
      callsPerSecond,
      tokens + (nowMs - refilledAtMs) * callsPerSecond / 1000,
    );
    refilledAtMs = nowMs;
    if (tokens < 1) return false;
    tokens -= 1;
    return true;
  }

  const visible = () => mode === "stale" ? staleState : state;

  function answerIndex(url: URL, response: ServerResponse): void {
    const afterRevision = Number(url.searchParams.get("after_revision") ?? 0);
    const waitMs = Number(url.searchParams.get("wait_ms") ?? 0);
    const answer = () => {
      clearTimeout(timer);
      waiting.delete(onChange);
      if (mode === "outage") {
        return sendJson(response, 503, { error: "unavailable" });
      }
      const { revision, revisions } = visible();
      sendJson(response, 200, { revision, keys: revisions });
    };
    const onChange = () => {
      if (mode === "outage" || visible().revision > afterRevision) answer();
    };
    const timer = setTimeout(answer, waitMs);
    waiting.add(onChange);
    response.once("close", () => {
      clearTimeout(timer);
      waiting.delete(onChange);
    });
    onChange();
  }

  function answerValue(key: string, response: ServerResponse): void {
    const { revisions, values } = visible();
    if (!(key in values)) {
      return sendJson(response, 404, { error: "no such key" });
    }
    const known = key as PlatformKey;
    sendJson(response, 200, {
      key,
      revision: revisions[known],
      value: values[known],
    });
  }

  function handle(request: IncomingMessage, response: ServerResponse): void {
    callCount += 1;
    if (!takeToken()) {
      rateLimitedCount += 1;
      return sendJson(response, 429, { error: "rate limit" });
    }
    if (mode === "outage") {
      return sendJson(response, 503, { error: "unavailable" });
    }
    const url = new URL(request.url ?? "/", "http://platform");
    if (url.pathname === "/v1/index") return answerIndex(url, response);
    const key = /^\/v1\/values\/([a-z]+)$/.exec(url.pathname)?.[1];
    if (key !== undefined) return answerValue(key, response);
    sendJson(response, 404, { error: "no such path" });
  }

  const server = createServer(handle);
  const host = options.host ?? "127.0.0.1";
  const port = await listen(server, { host, port: options.port ?? 0 });

  return {
    url: `http://${host}:${port}`,
    get revision() {
      return state.revision;
    },
    get callCount() {
      return callCount;
    },
    get rateLimitedCount() {
      return rateLimitedCount;
    },
    publish(key, value) {
      const revision = state.revision + 1;
      state = {
        revision,
        revisions: { ...state.revisions, [key]: revision },
        values: { ...state.values, [key]: value },
      };
      for (const notify of [...waiting]) notify();
      return revision;
    },
    setMode(next) {
      if (next === "stale" && mode !== "stale") staleState = state;
      mode = next;
      for (const notify of [...waiting]) notify();
    },
    close() {
      server.closeAllConnections();
      return new Promise((resolve) => server.close(() => resolve()));
    },
  };
}

/** Options of `listen`. */
export interface ListenOptions {
  readonly host: string;
  readonly port: number;
}

/** Starts a server and returns its port. */
export function listen(
  server: Server,
  { host, port }: ListenOptions,
): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(
      port,
      host,
      () => resolve((server.address() as AddressInfo).port),
    );
  });
}

function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
): void {
  if (response.writableEnded) return;
  const text = JSON.stringify(body);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  response.end(text);
}
