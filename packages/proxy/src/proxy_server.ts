import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import { Agent, request as sendRequest } from "undici";
import { resolveRoute, type RoutingTable } from "@tanagercove/routing";
import { HEADERS, type Outcome, type Reason } from "@tanagercove/types";

/** Options of `startProxyServer`. */
export interface StartProxyServerOptions {
  readonly address: string;
  readonly callerPort: number;
  /** The routing table in force, or undefined before the first version. */
  readonly routingTable: () => RoutingTable | undefined;
}

/** A running proxy. */
export interface ProxyServer {
  close(): Promise<void>;
}

const STATUS_BY_REASON: Partial<Record<Reason, number>> = {
  bad_request: 400,
  customer_missing: 401,
  customer_unknown: 403,
  plan_without_allowance: 403,
  service_not_allowed: 403,
  service_unknown: 404,
  service_not_known: 503,
  starting: 503,
  cut: 502,
};

/** Starts the server for callers. */
export async function startProxyServer(
  options: StartProxyServerOptions,
): Promise<ProxyServer> {
  const agent = new Agent({ connections: 32 });

  async function handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const table = options.routingTable();
    if (table === undefined) return refuse(response, "not_run", "starting");
    const customer = request.headers[HEADERS.customer];
    const service = request.headers[HEADERS.service];
    if (typeof customer !== "string") {
      return refuse(response, "not_run", "customer_missing");
    }
    if (typeof service !== "string") {
      return refuse(response, "not_run", "bad_request");
    }
    const route = resolveRoute(table, { customer, service });
    if (route.isErr) return refuse(response, "not_run", route.error);
    const vm = route.value[Math.floor(Math.random() * route.value.length)]!;
    try {
      const answer = await sendRequest(
        `http://${vm.address}:${vm.upstreamPort}${request.url}`,
        {
          method: request.method as "GET",
          headers: { [HEADERS.customer]: customer },
          body: request,
          dispatcher: agent,
        },
      );
      const body = Buffer.from(await answer.body.arrayBuffer());
      response.writeHead(answer.statusCode, { [HEADERS.outcome]: "answered" })
        .end(body);
    } catch {
      refuse(response, "unknown", "cut");
    }
  }

  const server = createServer((request, response) =>
    void handle(request, response)
  );
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(options.callerPort, options.address, resolve);
  });
  return {
    async close() {
      await new Promise<void>((resolve) => {
        server.close(() => resolve());
        server.closeIdleConnections();
      });
      await agent.close();
    },
  };
}

function refuse(
  response: ServerResponse,
  outcome: Outcome,
  reason: Reason,
): void {
  response.writeHead(STATUS_BY_REASON[reason] ?? 503, {
    "content-type": "application/json",
    [HEADERS.outcome]: outcome,
    [HEADERS.reason]: reason,
  });
  response.end(JSON.stringify({ outcome, reason, message: reason }));
}
