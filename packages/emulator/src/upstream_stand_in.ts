import { createServer, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { type ExecutionEvent, ExecutionLog } from "./execution_log.ts";
import { Freezer } from "./freezer.ts";
import { listen } from "./listen.ts";
import { PlannedFailures } from "./planned_failures.ts";
import { type OverloadMode, RequestExecutor } from "./request_executor.ts";
import {
  type DurationDistribution,
  sampleMs,
  seededRandom,
} from "./seeded_random.ts";
import type {
  ExchangeStep,
  HealthMode,
  UpstreamControl,
  UpstreamState,
} from "./upstream_control.ts";

/** Options of `startUpstreamStandIn`. */
export interface StartUpstreamStandInOptions {
  readonly name: string;
  readonly host?: string;
  readonly port?: number;
  /** Time that each request takes; `serviceTime` takes precedence. */
  readonly serviceTimeMs?: number;
  readonly serviceTime?: DurationDistribution;
  /** Seed of the service times. */
  readonly seed?: number;
  /** Number of requests that can run concurrently. */
  readonly slots?: number;
  /** Default `shed`. */
  readonly overload?: OverloadMode;
  /** Connections beyond this are reset and counted; default no limit. */
  readonly connectionLimit?: number;
  /** For this long after the start, requests take up to `coldFactor` times as long. */
  readonly coldMs?: number;
  readonly coldFactor?: number;
  readonly state?: UpstreamState;
  /** Called with each event as it happens; the start of an execution comes before its answer is sent. */
  readonly onEvent?: (event: ExecutionEvent) => void;
  /**
   * Called to crash the process when a failure has the scope `process`. By default, the listener is closed and all
   * connections are reset.
   */
  readonly crash?: () => void;
}

/** A running upstream stand-in. It records every execution. */
export interface UpstreamStandIn {
  readonly port: number;
  readonly log: ExecutionLog;
  /** Number of executions started, by request id. */
  readonly executions: ReadonlyMap<string, number>;
  readonly running: number;
  control(command: UpstreamControl): void;
  setState(state: UpstreamState): void;
  close(): Promise<void>;
}

type Handlers = {
  readonly [A in UpstreamControl["action"]]: (
    command: Extract<UpstreamControl, { action: A }>,
  ) => void;
};

const DEFAULT_SLOTS = 10;
const DEFAULT_COLD_FACTOR = 5;

/**
 * Starts an upstream. It answers with its name and the request's ids and path, and pads the
 * answer to the `answer_bytes` of the URL, if given.
 */
export async function startUpstreamStandIn(
  options: StartUpstreamStandInOptions,
): Promise<UpstreamStandIn> {
  const log = new ExecutionLog();
  const connections = new Set<Socket>();
  const failures = new PlannedFailures();
  const freezer = new Freezer();
  const sampleServiceTimeMs = createServiceTimeSampler(options);
  let serviceTime: DurationDistribution = options.serviceTime ??
    { shape: "fixed", meanMs: options.serviceTimeMs ?? 0 };
  let state: UpstreamState = options.state ?? "ready";
  let drainingSinceMs: number | undefined;
  let healthOverride: {
    readonly state?: UpstreamState;
    readonly load?: number;
  } = {};
  let healthMode: HealthMode = "normal";

  function recordEvent(event: ExecutionEvent): void {
    log.record(event);
    options.onEvent?.(event);
  }

  function failAt(step: ExchangeStep, socket: Socket): boolean {
    const scope = failures.consume(step);
    if (scope === undefined) return false;
    if (scope === "process") crash();
    else socket.resetAndDestroy();
    return true;
  }

  function crash(): void {
    if (options.crash !== undefined) return options.crash();
    server.close();
    for (const socket of connections) socket.resetAndDestroy();
  }

  const executor = new RequestExecutor({
    name: options.name,
    slots: options.slots ?? DEFAULT_SLOTS,
    overload: options.overload ?? "shed",
    serviceTimeMs: () => sampleServiceTimeMs(serviceTime),
    drainingForMs: () =>
      drainingSinceMs === undefined
        ? undefined
        : performance.now() - drainingSinceMs,
    freezer,
    failures,
    fail: (step, { socket }) => {
      if (socket !== null) failAt(step, socket);
    },
    onEvent: recordEvent,
  });

  function answerHealth(response: ServerResponse): void {
    if (healthMode === "silent") return;
    if (healthMode === "error") return void response.writeHead(500).end();
    response.writeHead(200, { "content-type": "application/json" });
    response.end(JSON.stringify({
      state: healthOverride.state ?? state,
      load: healthOverride.load ?? executor.load,
    }));
  }

  const handlers: Handlers = {
    set_state: (command) => {
      state = command.state;
      drainingSinceMs = state === "draining" ? performance.now() : undefined;
    },
    lie: (command) =>
      healthOverride = { state: command.state, load: command.load },
    set_health: (command) => healthMode = command.mode,
    freeze: () => freezer.freeze(),
    thaw: () => freezer.thaw(),
    fail_at: ({ step, ...planned }) => failures.add(step, planned),
    set_service_time: (command) => serviceTime = command.serviceTime,
    set_slots: (command) => executor.setSlots(command.slots),
  };

  function control(command: UpstreamControl): void {
    (handlers[command.action] as (command: UpstreamControl) => void)(command);
  }

  const server = createServer((request, response) =>
    freezer.run(() => {
      if (request.url === "/health") return answerHealth(response);
      request.resume();
      request.once("end", () => {
        if (failAt("request_read", request.socket)) return;
        if (state === "starting") executor.shed(response);
        else executor.accept(request, response);
      });
    })
  );
  server.on("connection", (socket) => {
    socket.on("error", () => {});
    connections.add(socket);
    socket.once("close", () => connections.delete(socket));
    if (failAt("accepted", socket)) return;
    if (connections.size <= (options.connectionLimit ?? Infinity)) return;
    recordEvent({ event: "connection_limit_exceeded" });
    socket.resetAndDestroy();
  });
  const host = options.host ?? "127.0.0.1";
  const port = await listen(server, { host, port: options.port ?? 0 });

  return {
    port,
    log,
    get executions() {
      return log.countByRequestId;
    },
    get running() {
      return executor.running;
    },
    control,
    setState: (next) => control({ action: "set_state", state: next }),
    close() {
      const closed = new Promise<void>((resolve) =>
        server.close(() => resolve())
      );
      server.closeAllConnections();
      return closed;
    },
  };
}

/** Returns a function that draws service times, which are longer while the upstream is cold. */
function createServiceTimeSampler(
  { seed = 1, coldMs = 0, coldFactor = DEFAULT_COLD_FACTOR }: Pick<
    StartUpstreamStandInOptions,
    "seed" | "coldMs" | "coldFactor"
  >,
): (distribution: DurationDistribution) => number {
  const random = seededRandom(seed);
  const startedAtMs = performance.now();
  return (distribution) => {
    const ageMs = performance.now() - startedAtMs;
    const coldness = ageMs < coldMs ? 1 - ageMs / coldMs : 0;
    return sampleMs(distribution, random) * (1 + (coldFactor - 1) * coldness);
  };
}
