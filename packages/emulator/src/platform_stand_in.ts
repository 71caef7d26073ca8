import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import type { PlatformKey } from "@tanagercove/types";
import { listen } from "./listen.ts";
import {
  PlatformStore,
  type PublishedVersion,
  type StoreState,
} from "./platform_store.ts";

/** Options of `startPlatformStandIn`. */
export interface StartPlatformStandInOptions {
  readonly host?: string;
  readonly port?: number;
  /** Rate of accepted calls, and how many are accepted at once after a pause; further ones get 429. */
  readonly callsPerSecond?: number;
  /** Delay of every answer except 429, which is sent at once. */
  readonly latencyMs?: number;
  readonly values?: Partial<Record<PlatformKey, string>>;
}

/**
 * How the stand-in answers: normally, with 503, not at all, or from an older state. Calls beyond
 * `callsPerSecond` get 429 in every mode.
 */
export type PlatformMode = "normal" | "outage" | "silent" | "stale";

/** Kinds of calls: a long poll of the index, a plain read of it, a read of a value, anything else. */
export type PlatformCallKind = "watch" | "index" | "value" | "other";

/** Counts of calls since the start. Refused calls count too. */
export interface PlatformCallCounts
  extends Readonly<Record<PlatformCallKind, number>> {
  readonly total: number;
  readonly rateLimited: number;
  /** Answered 503. */
  readonly unavailable: number;
}

/** A running stand-in for the platform. */
export interface PlatformStandIn {
  readonly host: string;
  readonly port: number;
  readonly url: string;
  readonly revision: number;
  readonly calls: PlatformCallCounts;
  /** Calls received so far. */
  readonly callCount: number;
  readonly rateLimitedCount: number;
  /** Number of watches that are waiting for a change. */
  readonly waitingWatches: number;
  /** Every version of the two lists (plans and allowances) that was published. */
  readonly versions: readonly PublishedVersion[];
  /** Publishes one value, as an operator does, and returns the store's new revision. */
  publish(key: PlatformKey, value: string): number;
  /** Replaces a value without a new revision, as a faulty platform does. */
  replaceWithoutRevision(key: PlatformKey, value: string): void;
  /**
   * In `stale`, answers come from the state at `staleRevision`; the default is the revision that was being
   * served when the mode was set.
   */
  setMode(
    mode: PlatformMode,
    options?: { readonly staleRevision?: number },
  ): void;
  setCallsPerSecond(callsPerSecond: number): void;
  setLatencyMs(latencyMs: number): void;
  /**
   * Runs `action` once, before the answer to the next read of a value, so that a publication falls
   * between a caller's reads of the index and of the value. Reads beyond the rate and reads that arrive
   * in the modes `outage` and `silent` do not count.
   */
  beforeNextRead(action: () => void): void;
  /** Leaves the waiting watches unanswered on open connections and returns their number. */
  silenceWatches(): number;
  close(): Promise<void>;
}

const DEFAULT_CALLS_PER_SECOND = 2_000;

/** Starts an HTTP stand-in for the platform with the calls described in docs/design.md. */
export async function startPlatformStandIn(
  options: StartPlatformStandInOptions = {},
): Promise<PlatformStandIn> {
  const store = new PlatformStore(options.values);
  const calls = {
    watch: 0,
    index: 0,
    value: 0,
    other: 0,
    total: 0,
    rateLimited: 0,
    unavailable: 0,
  };
  let callsPerSecond = options.callsPerSecond ?? DEFAULT_CALLS_PER_SECOND;
  let latencyMs = options.latencyMs ?? 0;
  let mode: PlatformMode = "normal";
  let staleRevision = store.state.revision;
  let tokens = callsPerSecond;
  let refilledAtMs = performance.now();
  let actionBeforeNextRead: (() => void) | undefined;
  const waiting = new Set<() => void>();

  function takeToken(): boolean {
    const nowMs = performance.now();
    const refilled = (nowMs - refilledAtMs) * callsPerSecond / 1000;
    tokens = Math.min(callsPerSecond, tokens + refilled);
    refilledAtMs = nowMs;
    if (tokens < 1) return false;
    tokens -= 1;
    return true;
  }

  function servedState(): StoreState {
    return mode === "stale" ? store.stateAt(staleRevision) : store.state;
  }

  async function answer(
    response: ServerResponse,
    body: () => Answer,
  ): Promise<void> {
    if (latencyMs > 0) await sleep(latencyMs);
    if (mode === "silent") return;
    const { status, json } = mode === "outage" ? UNAVAILABLE : body();
    if (status === UNAVAILABLE.status) calls.unavailable += 1;
    sendJson(response, status, json);
  }

  function answerIndex(url: URL, response: ServerResponse): void {
    const afterRevision = Number(url.searchParams.get("after_revision") ?? 0);
    const waitMs = Number(url.searchParams.get("wait_ms") ?? 0);
    const finish = () => {
      clearTimeout(timer);
      waiting.delete(onChange);
      void answer(response, () => {
        const { revision, revisions } = servedState();
        return { status: 200, json: { revision, keys: revisions } };
      });
    };
    const onChange = () => {
      if (mode === "outage" || servedState().revision > afterRevision) finish();
    };
    const timer = setTimeout(finish, waitMs);
    timers.set(onChange, timer);
    waiting.add(onChange);
    response.once("close", () => {
      clearTimeout(timer);
      timers.delete(onChange);
      waiting.delete(onChange);
    });
    onChange();
  }

  function answerValue(key: string, response: ServerResponse): void {
    const action = actionBeforeNextRead;
    actionBeforeNextRead = undefined;
    action?.();
    void answer(response, () => {
      const { revisions, values } = servedState();
      if (!(key in values)) return NO_SUCH_PATH;
      const knownKey = key as PlatformKey;
      const json = {
        key,
        revision: revisions[knownKey],
        value: values[knownKey],
      };
      return { status: 200, json };
    });
  }

  function handle(request: IncomingMessage, response: ServerResponse): void {
    const url = new URL(request.url ?? "/", "http://platform");
    const key = /^\/v1\/values\/([a-z]+)$/.exec(url.pathname)?.[1];
    calls.total += 1;
    calls[callKindOf(url, key)] += 1;
    if (!takeToken()) {
      calls.rateLimited += 1;
      return sendJson(response, 429, { error: "rate limit" });
    }
    if (mode === "silent" || mode === "outage") {
      return void answer(response, () => UNAVAILABLE);
    }
    if (url.pathname === INDEX_PATH) return answerIndex(url, response);
    if (key !== undefined) return answerValue(key, response);
    void answer(response, () => NO_SUCH_PATH);
  }

  const timers = new Map<() => void, NodeJS.Timeout>();
  const server = createServer(handle);
  const host = options.host ?? "127.0.0.1";
  const port = await listen(server, { host, port: options.port ?? 0 });

  function notifyWaiting(): void {
    for (const notify of [...waiting]) notify();
  }

  return {
    host,
    port,
    url: `http://${host}:${port}`,
    get revision() {
      return store.state.revision;
    },
    get calls() {
      return { ...calls };
    },
    get callCount() {
      return calls.total;
    },
    get rateLimitedCount() {
      return calls.rateLimited;
    },
    get waitingWatches() {
      return waiting.size;
    },
    get versions() {
      return store.versions;
    },
    publish(key, value) {
      const revision = store.publish(key, value);
      notifyWaiting();
      return revision;
    },
    replaceWithoutRevision(key, value) {
      store.replace(key, value);
    },
    setMode(next, modeOptions = {}) {
      if (next === "stale") {
        staleRevision = modeOptions.staleRevision ?? servedState().revision;
      }
      mode = next;
      notifyWaiting();
    },
    setCallsPerSecond(next) {
      callsPerSecond = next;
    },
    setLatencyMs(next) {
      latencyMs = next;
    },
    beforeNextRead(action) {
      actionBeforeNextRead = action;
    },
    silenceWatches() {
      const count = waiting.size;
      for (const watch of waiting) clearTimeout(timers.get(watch));
      waiting.clear();
      return count;
    },
    close() {
      const closed = new Promise<void>((resolve) =>
        server.close(() => resolve())
      );
      server.closeAllConnections();
      return closed;
    },
  };
}

interface Answer {
  readonly status: number;
  readonly json: unknown;
}

const INDEX_PATH = "/v1/index";
const UNAVAILABLE: Answer = { status: 503, json: { error: "unavailable" } };
const NO_SUCH_PATH: Answer = { status: 404, json: { error: "no such path" } };

function callKindOf(url: URL, key: string | undefined): PlatformCallKind {
  if (key !== undefined) return "value";
  if (url.pathname !== INDEX_PATH) return "other";
  return Number(url.searchParams.get("wait_ms") ?? 0) > 0 ? "watch" : "index";
}

function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
): void {
  if (response.writableEnded || response.destroyed) return;
  const text = JSON.stringify(body);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  response.end(text);
}
