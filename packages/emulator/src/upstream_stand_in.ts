import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import { HEADERS } from "@tanagercove/types";
import { listen } from "./platform_stand_in.ts";

/** State that an upstream reports on `/health`. */
export type UpstreamState = "starting" | "ready" | "draining";

/** Options of `startUpstreamStandIn`. */
export interface StartUpstreamStandInOptions {
  readonly name: string;
  readonly host?: string;
  readonly port?: number;
  /** Time that a request takes. */
  readonly serviceTimeMs?: number;
  /** Requests that run at once; above it the upstream sheds load. */
  readonly slots?: number;
}

/** A running upstream stand-in. It records every execution by request id. */
export interface UpstreamStandIn {
  readonly port: number;
  /** Executions by request id. */
  readonly executions: ReadonlyMap<string, number>;
  setState(state: UpstreamState): void;
  close(): Promise<void>;
}

const DEFAULT_SLOTS = 10;

/** Starts an upstream that answers with its name and the request's id. */
export async function startUpstreamStandIn(
  options: StartUpstreamStandInOptions,
): Promise<UpstreamStandIn> {
  const slots = options.slots ?? DEFAULT_SLOTS;
  const executions = new Map<string, number>();
  let state: UpstreamState = "ready";
  let running = 0;

  function execute(request: IncomingMessage, response: ServerResponse): void {
    if (running >= slots) {
      response.writeHead(503, { [HEADERS.notStarted]: "true" }).end();
      return;
    }
    running += 1;
    const requestId = String(request.headers[HEADERS.requestId] ?? "");
    executions.set(requestId, (executions.get(requestId) ?? 0) + 1);
    request.resume();
    setTimeout(() => {
      running -= 1;
      const body = JSON.stringify({
        upstream: options.name,
        requestId,
        path: request.url,
      });
      response.writeHead(200, { "content-type": "application/json" }).end(body);
    }, options.serviceTimeMs ?? 0);
  }

  const server = createServer((request, response) => {
    if (request.url !== "/health") return execute(request, response);
    response.writeHead(200, { "content-type": "application/json" });
    response.end(JSON.stringify({ state, load: running / slots }));
  });
  const host = options.host ?? "127.0.0.1";
  const port = await listen(server, { host, port: options.port ?? 0 });

  return {
    port,
    executions,
    setState(next) {
      state = next;
    },
    close() {
      server.closeAllConnections();
      return new Promise((resolve) => server.close(() => resolve()));
    },
  };
}
