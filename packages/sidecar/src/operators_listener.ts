import { createServer, type ServerResponse } from "node:http";
import { type Metrics, renderMetricsText } from "@tanagercove/metrics";
import { type HttpListener, listenHttp } from "./http_listener.ts";

/** Options of `startOperatorsListener`. */
export interface StartOperatorsListenerOptions {
  readonly address: string;
  readonly port: number;
  readonly metrics: Metrics;
  /** The state of the process as plain data. */
  readonly dump: () => unknown;
}

/** Serves `/metrics` as text and `/dump` as JSON. */
export async function startOperatorsListener(
  { address, port, metrics, dump }: StartOperatorsListenerOptions,
): Promise<HttpListener> {
  const pages: Readonly<Record<string, (response: ServerResponse) => void>> = {
    "/metrics"(response) {
      response.writeHead(200, { "content-type": "text/plain; version=0.0.4" });
      response.end(renderMetricsText(metrics.read()));
    },
    "/dump"(response) {
      response.writeHead(200, { "content-type": "application/json" });
      response.end(JSON.stringify(dump()));
    },
  };
  const server = createServer((request, response) => {
    const page = pages[request.url ?? ""];
    if (page !== undefined) return page(response);
    response.writeHead(404).end();
  });
  return await listenHttp(server, { address, ports: [port] });
}
