import { Client } from "undici";
import { clientOptions, type ConnectionOptions } from "./connections.ts";
import { Exchange } from "./exchange.ts";

/** State that an upstream reports. */
export type UpstreamState = "starting" | "ready" | "draining";

/** What an upstream last reported at its health endpoint. */
export interface UpstreamHealth {
  readonly state: UpstreamState;
  /** Share of the upstream's capacity in use; 0 if it reports no number. */
  readonly load: number;
}

/** Options of `watchUpstreamHealth`. */
export interface WatchUpstreamHealthOptions {
  readonly address: string;
  readonly port: number;
  readonly connection: ConnectionOptions;
  /** Time until the next probe; called after each probe. */
  readonly intervalMs: () => number;
  readonly timeoutMs: number;
  readonly onHealth: (health: UpstreamHealth) => void;
  readonly onProbeStarted: () => void;
  /** Called when a probe ends, with whether the head of a response was received; not after `close`. */
  readonly onProbeEnded: (answered: boolean) => void;
}

/** Running health probes of one upstream. */
export interface UpstreamHealthWatch {
  /** Probes without a valid response. */
  readonly failures: number;
  /** Starts a probe at once unless one is running. */
  probeNow(): void;
  close(): Promise<void>;
}

/** Health responses are small; a longer one is not read to its end. */
const MAX_HEALTH_BYTES = 16 * 1024;

const STATES: ReadonlySet<string> = new Set(["starting", "ready", "draining"]);

/**
 * Probes an upstream's health. After a failed probe, the health last reported
 * stays in use: health endpoints lag and mislead, and requests themselves show
 * whether the upstream serves.
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

  async function probe(): Promise<void> {
    timer = undefined;
    options.onProbeStarted();
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
    options.onProbeEnded(head !== undefined);
    const health = failure === undefined && head?.status === 200
      ? parseHealth(Buffer.concat(chunks).toString())
      : undefined;
    if (health === undefined) failures += 1;
    else options.onHealth(health);
    timer = setTimeout(() => void probe(), options.intervalMs());
  }
  void probe();

  return {
    get failures() {
      return failures;
    },
    probeNow() {
      if (timer === undefined) return;
      clearTimeout(timer);
      void probe();
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
