import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import { Agent, request as sendRequest } from "undici";
import { HEADERS } from "@tanagercove/types";

/** An upstream of the baseline proxy. */
export interface BaselineUpstream {
  readonly service: string;
  readonly address: string;
  readonly port: number;
}

/** Options of `startBaselineProxy`. */
export interface StartBaselineProxyOptions {
  readonly address: string;
  readonly port: number;
  readonly upstreams: readonly BaselineUpstream[];
  readonly maxAttempts?: number;
  readonly timeoutMs?: number;
}

/** Counters of a baseline proxy since its start. */
export interface BaselineCounts {
  readonly requests: number;
  readonly attempts: number;
}

/** A running baseline proxy; it serves its counts at `BASELINE_COUNTS_PATH`. */
export interface BaselineProxy {
  close(): Promise<void>;
}

interface BaselineAnswer {
  readonly status: number;
  readonly body: Buffer;
  /** Header `server-timing` of the upstream's answer. */
  readonly timing: string;
}

/** Path at which a baseline proxy serves `BaselineCounts` as JSON. */
export const BASELINE_COUNTS_PATH = "/baseline/counts";
const DEFAULT_MAX_ATTEMPTS = 3;
const DEFAULT_TIMEOUT_MS = 5_000;

/**
 * Starts the plain proxy that the requests bench compares against: round robin, no limits, and a retry after
 * every error or status of 500 or above, whatever the method, until `maxAttempts` have been made.
 */
export async function startBaselineProxy(
  options: StartBaselineProxyOptions,
): Promise<BaselineProxy> {
  const agent = new Agent({ pipelining: 1 });
  const counts = { requests: 0, attempts: 0 };
  const nextByService = new Map<string, number>();

  function nextUpstream(service: string): BaselineUpstream | undefined {
    const candidates = options.upstreams.filter((upstream) =>
      upstream.service === service
    );
    const next = nextByService.get(service) ?? 0;
    nextByService.set(service, next + 1);
    return candidates[next % candidates.length];
  }

  async function attempt(
    request: IncomingMessage,
    body: Buffer,
  ): Promise<BaselineAnswer> {
    const service = String(request.headers[HEADERS.service] ?? "");
    const upstream = nextUpstream(service);
    if (upstream === undefined) {
      return { status: 404, body: Buffer.alloc(0), timing: "" };
    }
    const timeLeftMs = Number(
      request.headers[HEADERS.deadlineMs] ??
        options.timeoutMs ?? DEFAULT_TIMEOUT_MS,
    );
    const answer = await sendRequest(
      `http://${upstream.address}:${upstream.port}${request.url}`,
      {
        method: request.method as "GET" | "POST",
        headers: { [HEADERS.deadlineMs]: String(timeLeftMs) },
        body: body.length > 0 ? body : null,
        dispatcher: agent,
        signal: AbortSignal.timeout(timeLeftMs),
      },
    );
    const bytes = Buffer.from(await answer.body.arrayBuffer());
    const timing = String(answer.headers["server-timing"] ?? "");
    return { status: answer.statusCode, body: bytes, timing };
  }

  async function handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (request.url === BASELINE_COUNTS_PATH) {
      return void response.end(JSON.stringify(counts));
    }
    counts.requests += 1;
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    const body = Buffer.concat(chunks);
    const maxAttempts = options.maxAttempts ?? DEFAULT_MAX_ATTEMPTS;
    for (
      let attemptNumber = 1;
      attemptNumber <= maxAttempts;
      attemptNumber += 1
    ) {
      counts.attempts += 1;
      const answer = await attempt(request, body).catch(() => undefined);
      if (answer !== undefined && answer.status < 500) {
        response.writeHead(answer.status, {
          [HEADERS.outcome]: "answered",
          "server-timing": answer.timing,
        });
        response.end(answer.body);
        return;
      }
    }
    response.writeHead(502, { [HEADERS.outcome]: "unknown" }).end();
  }

  const server = createServer((request, response) => {
    handle(request, response).catch(() => response.destroy());
  });
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(options.port, options.address, resolve);
  });
  return {
    async close() {
      server.closeAllConnections();
      await new Promise((resolve) => server.close(resolve));
      await agent.destroy();
    },
  };
}
