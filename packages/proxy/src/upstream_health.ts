import { Client } from "undici";
import { clientOptions, type ConnectionOptions } from "./connections.ts";
import { Exchange } from "./exchange.ts";

/** State that an upstream reports. */
export type UpstreamState = "starting" | "ready" | "draining";

/** Last answer of an upstream's health endpoint. */
export interface UpstreamHealth {
  readonly state: UpstreamState;
  /** Share of the upstream's capacity in use. */
  readonly load: number;
}

/** Options of `watchUpstreamHealth`. */
export interface WatchUpstreamHealthOptions {
  readonly address: string;
  readonly port: number;
  readonly connection: ConnectionOptions;
  /** Time until the next poll; read after each one. */
  readonly intervalMs: () => number;
  readonly timeoutMs: number;
  readonly onHealth: (health: UpstreamHealth) => void;
  readonly onAsked: () => void;
  /** Called at the end of each poll with whether anything was answered. */
  readonly onEnded: (answered: boolean) => void;
}

/** A running poll. */
export interface UpstreamHealthWatch {
  /** Polls without a valid answer. */
  readonly failures: number;
  /** Polls at once unless a poll is running. */
  pollNow(): void;
  close(): Promise<void>;
}

/** Health answers are small; a longer one is not read. */
const MAX_HEALTH_BYTES = 16 * 1024;

const STATES: ReadonlySet<string> = new Set(["starting", "ready", "draining"]);

/**
 * Polls an upstream's health. A failed poll changes nothing: health endpoints
 * lag and mislead, and requests themselves show whether the upstream serves.
 */
export function watchUpstreamHealth(
  options: WatchUpstreamHealthOptions,
): UpstreamHealthWatch {
  const client = new Client(
    `http://${options.address}:${options.port}`,
    clientOptions(options.connection),
  );
  let failures = 0;
  let closed = false;
  let timer: NodeJS.Timeout | undefined;

  async function poll(): Promise<void> {
    timer = undefined;
    options.onAsked();
    const exchange = new Exchange({
      dispatcher: client,
      method: "GET",
      path: "/health",
      headers: [],
      body: undefined,
      timeoutMs: options.timeoutMs,
      bufferBytes: MAX_HEALTH_BYTES,
    });
    const { head, failure, chunks, continues } = await exchange.ended;
    if (continues) exchange.abort("cancelled");
    if (closed) return;
    options.onEnded(head !== undefined);
    const health = failure === undefined && head?.status === 200
      ? parseHealth(Buffer.concat(chunks).toString())
      : undefined;
    if (health === undefined) failures += 1;
    else options.onHealth(health);
    timer = setTimeout(() => void poll(), options.intervalMs());
  }
  void poll();

  return {
    get failures() {
      return failures;
    },
    pollNow() {
      if (timer === undefined) return;
      clearTimeout(timer);
      void poll();
    },
    async close() {
      closed = true;
      clearTimeout(timer);
      await client.destroy();
    },
  };
}

function parseHealth(text: string): UpstreamHealth | undefined {
  try {
    const { state, load } = JSON.parse(text) as Partial<UpstreamHealth>;
    if (state === undefined || !STATES.has(state)) return undefined;
    return { state, load: Number.isFinite(load) ? load! : 0 };
  } catch {
    return undefined;
  }
}
