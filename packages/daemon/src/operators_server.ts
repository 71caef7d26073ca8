import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { Result } from "true-myth";
import { type ListenError, listenErrorOf } from "@tanagercove/errors";
import { type MetricsReading, renderMetricsText } from "@tanagercove/metrics";
import type { DaemonState, DaemonSummary } from "./daemon_summary.ts";
import type { FleetStatus } from "./fleet_status.ts";

/** State shown on the operators' port; the functions are called anew for each request. */
export interface OperatorsState {
  readonly summary: () => DaemonSummary;
  /** Returns this daemon's summary and those fetched from all other daemons. */
  readonly fleetStatus: () => Promise<FleetStatus>;
  /** Everything that this daemon holds, without secrets and request contents. */
  readonly dump: () => unknown;
  readonly metrics: () => MetricsReading;
}

/** Options of `startOperatorsServer`. */
export interface StartOperatorsServerOptions {
  readonly address: string;
  readonly port: number;
  readonly state: OperatorsState;
}

/** The running operators' port. */
export interface OperatorsServer {
  readonly port: number;
  close(): Promise<void>;
}

/** Response for one path. */
interface Answer {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

type Handler = (
  state: OperatorsState,
  query: URLSearchParams,
) => Answer | Promise<Answer>;

/** Requests to this port need only short paths and few headers. */
const MAX_HEADER_BYTES = 8 * 1024;
const MAX_CONNECTIONS = 64;
const REQUEST_TIMEOUT_MS = 5_000;
const IDLE_CONNECTION_MS = 1_000;
/** Interval at which Node checks for requests past their timeout. */
const TIMEOUT_CHECK_MS = 500;
const SCOPES = ["own", "fleet"];

const HEALTH_STATUS: Readonly<Record<DaemonState, number>> = {
  starting: 503,
  serving: 200,
  draining: 503,
};

const HANDLERS: Readonly<Record<string, Handler>> = {
  "/status": async (state, query) => {
    const scope = query.get("scope") ?? "own";
    if (!SCOPES.includes(scope)) {
      return problem(400, `Expected scope ${SCOPES.join(" or ")}`);
    }
    return json(
      scope === "fleet" ? await state.fleetStatus() : state.summary(),
    );
  },
  "/dump": (state) => json(state.dump()),
  "/metrics": (state, query) =>
    query.get("format") === "json" ? json(state.metrics()) : {
      status: 200,
      contentType: "text/plain; version=0.0.4",
      body: renderMetricsText(state.metrics()),
    },
  "/healthz": (state) => {
    const { state: daemonState } = state.summary();
    return {
      ...json({ state: daemonState }),
      status: HEALTH_STATUS[daemonState],
    };
  },
};

/** Opens the operators' port, which is read-only: no request changes any state. */
export async function startOperatorsServer(
  options: StartOperatorsServerOptions,
): Promise<Result<OperatorsServer, ListenError>> {
  const server = createServer({
    maxHeaderSize: MAX_HEADER_BYTES,
    requestTimeout: REQUEST_TIMEOUT_MS,
    headersTimeout: REQUEST_TIMEOUT_MS,
    keepAliveTimeout: IDLE_CONNECTION_MS,
    connectionsCheckingInterval: TIMEOUT_CHECK_MS,
  }, (request, response) => void respond(request, response, options.state));
  server.maxConnections = MAX_CONNECTIONS;
  const opened = await listen(server, options);
  return opened.map((port) => ({ port, close: () => closeServer(server) }));
}

async function respond(
  request: IncomingMessage,
  response: ServerResponse,
  state: OperatorsState,
): Promise<void> {
  const answer = await answerTo(request, state);
  if (hasBody(request)) {
    // An unread body would be parsed as the next request.
    response.setHeader("connection", "close");
    response.once("finish", () => request.destroy());
  }
  if (answer.status === 405) response.setHeader("allow", "GET");
  response.writeHead(answer.status, {
    "content-type": answer.contentType,
    "cache-control": "no-store",
  });
  response.end(answer.body);
}

async function answerTo(
  request: IncomingMessage,
  state: OperatorsState,
): Promise<Answer> {
  if (request.method !== "GET") return problem(405, "Expected method GET");
  if (hasBody(request)) return problem(400, "Expected a request without body");
  const [path = "", query] = (request.url ?? "").split("?", 2);
  const handler = Object.hasOwn(HANDLERS, path) ? HANDLERS[path] : undefined;
  return handler === undefined
    ? problem(404, `Expected one of ${Object.keys(HANDLERS).join(", ")}`)
    : await handler(state, new URLSearchParams(query));
}

function hasBody({ headers }: IncomingMessage): boolean {
  const length = headers["content-length"];
  return headers["transfer-encoding"] !== undefined ||
    (length !== undefined && length !== "0");
}

function json(value: unknown): Answer {
  return {
    status: 200,
    contentType: "application/json",
    body: `${JSON.stringify(value)}\n`,
  };
}

function problem(status: number, message: string): Answer {
  return { ...json({ message }), status };
}

async function listen(
  server: Server,
  { address, port }: { readonly address: string; readonly port: number },
): Promise<Result<number, ListenError>> {
  try {
    await new Promise<void>((resolve, reject) => {
      server.once("error", reject);
      server.listen({ host: address, port }, () => {
        server.off("error", reject);
        resolve();
      });
    });
  } catch (error) {
    const listenError = listenErrorOf(error);
    if (listenError === undefined) throw error;
    return Result.err(listenError);
  }
  const opened = server.address();
  return Result.ok(
    typeof opened === "object" && opened !== null ? opened.port : port,
  );
}

async function closeServer(server: Server): Promise<void> {
  await new Promise<void>((resolve) => {
    server.close(() => resolve());
    server.closeAllConnections();
  });
}
