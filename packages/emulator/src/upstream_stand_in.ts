import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import { HEADERS } from "@tanagercove/types";
import {
  type ExecutionEnd,
  type ExecutionEvent,
  ExecutionLog,
} from "./execution_log.ts";
import { listen } from "./listen.ts";
import {
  type DurationDistribution,
  sampleMs,
  seededRandom,
} from "./seeded_random.ts";
import type {
  DeathScope,
  ExchangeStep,
  HealthMode,
  UpstreamControl,
  UpstreamState,
} from "./upstream_control.ts";

/**
 * What happens to requests beyond the slots: refused as not started, or kept waiting in the order of
 * arrival, as a server that only limits its connections does.
 */
export type OverloadMode = "shed" | "wait";

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
  /** Requests that run at once. */
  readonly slots?: number;
  /** Default `shed`. */
  readonly overload?: OverloadMode;
  /** Connections beyond this are reset and counted; default no limit. */
  readonly connectionLimit?: number;
  /** For this long after the start, requests take up to `coldFactor` times as long. */
  readonly coldMs?: number;
  readonly coldFactor?: number;
  readonly state?: UpstreamState;
  /** Told each event as it happens, before the answer to it is sent. */
  readonly onEvent?: (event: ExecutionEvent) => void;
  /** Ends the process; default closes the listener and resets all connections. */
  readonly die?: () => void;
}

/** A running upstream stand-in. It records every execution. */
export interface UpstreamStandIn {
  readonly port: number;
  readonly log: ExecutionLog;
  /** Executions started, by request id. */
  readonly executions: ReadonlyMap<string, number>;
  readonly running: number;
  control(order: UpstreamControl): void;
  setState(state: UpstreamState): void;
  close(): Promise<void>;
}

type Handlers = {
  readonly [A in UpstreamControl["action"]]: (
    order: Extract<UpstreamControl, { action: A }>,
  ) => void;
};

interface ArrivalTimes {
  readonly deadlineAtMs: number;
  readonly arrivedAtMs: number;
}

interface WaitingRequest extends ArrivalTimes {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

interface PlannedFailure {
  readonly step: ExchangeStep;
  readonly scope: DeathScope;
  remaining: number;
}

const DEFAULT_SLOTS = 10;
const DEFAULT_COLD_FACTOR = 5;

/**
 * Starts an upstream. It answers with its name, the request's id and path, and pads the answer to
 * `answer_bytes` where the path asks for it.
 */
export async function startUpstreamStandIn(
  options: StartUpstreamStandInOptions,
): Promise<UpstreamStandIn> {
  const log = new ExecutionLog();
  const random = seededRandom(options.seed ?? 1);
  const startedAtMs = performance.now();
  const connections = new Set<Socket>();
  let slots = options.slots ?? DEFAULT_SLOTS;
  let serviceTime: DurationDistribution = options.serviceTime ??
    { shape: "fixed", meanMs: options.serviceTimeMs ?? 0 };
  let state: UpstreamState = options.state ?? "ready";
  let drainingSinceMs: number | undefined;
  let lie: { readonly state?: UpstreamState; readonly load?: number } = {};
  let healthMode: HealthMode = "normal";
  let frozen: (() => void)[] | undefined;
  let failures: PlannedFailure[] = [];
  const waiting: WaitingRequest[] = [];
  let running = 0;
  let lastNumber = 0;

  function tell(event: ExecutionEvent): void {
    log.record(event);
    options.onEvent?.(event);
  }

  function failsAt(step: ExchangeStep, socket: Socket): boolean {
    const failure = failures.find((planned) => planned.step === step);
    if (failure === undefined) return false;
    failure.remaining -= 1;
    failures = failures.filter(({ remaining }) => remaining > 0);
    if (failure.scope === "process") die();
    else socket.resetAndDestroy();
    return true;
  }

  function die(): void {
    if (options.die !== undefined) return options.die();
    server.close();
    for (const socket of connections) socket.resetAndDestroy();
  }

  function nextServiceTimeMs(): number {
    const coldMs = options.coldMs ?? 0;
    const ageMs = performance.now() - startedAtMs;
    const coldness = ageMs < coldMs ? 1 - ageMs / coldMs : 0;
    const factor = (options.coldFactor ?? DEFAULT_COLD_FACTOR) - 1;
    return sampleMs(serviceTime, random) * (1 + factor * coldness);
  }

  function shed(response: ServerResponse): void {
    tell({ event: "shed" });
    response.writeHead(503, { [HEADERS.notStarted]: "true" }).end();
  }

  function accept(request: IncomingMessage, response: ServerResponse): void {
    if (state === "starting") return shed(response);
    if (running < slots) return execute(request, response);
    if (options.overload !== "wait") return shed(response);
    waiting.push({
      request,
      response,
      deadlineAtMs: performance.now() + deadlineMsOf(request),
      arrivedAtMs: performance.now(),
    });
  }

  function startWaiting(): void {
    while (running < slots) {
      const next = waiting.shift();
      if (next === undefined) return;
      // A caller that has gone away left its request in the queue.
      if (next.response.destroyed) continue;
      if (performance.now() >= next.deadlineAtMs) shed(next.response);
      else execute(next.request, next.response, next);
    }
  }

  function execute(
    request: IncomingMessage,
    response: ServerResponse,
    { deadlineAtMs, arrivedAtMs }: ArrivalTimes = {
      deadlineAtMs: performance.now() + deadlineMsOf(request),
      arrivedAtMs: performance.now(),
    },
  ): void {
    const startedMs = performance.now();
    const number = lastNumber += 1;
    const url = new URL(request.url ?? "/", "http://upstream");
    const id = url.searchParams.get("id") ?? "";
    const requestId = headerOf(request, HEADERS.requestId);
    running += 1;
    tell({
      event: "execution_started",
      number,
      id,
      requestId,
      method: request.method ?? "",
      atMs: epochMs(),
      drainingForMs: drainingSinceMs === undefined
        ? undefined
        : performance.now() - drainingSinceMs,
    });

    let ended = false;
    const end = (how: ExecutionEnd) => {
      if (ended) return;
      ended = true;
      running -= 1;
      clearTimeout(timer);
      tell({ event: "execution_ended", number, end: how, atMs: epochMs() });
      startWaiting();
    };
    const finish = (how: "answered" | "deadline") => {
      if (ended) return;
      if (frozen !== undefined) {
        frozen.push(() => finish(how));
        return;
      }
      if (how === "deadline") {
        end(how);
        response.writeHead(504).end();
        return;
      }
      if (url.searchParams.has("timing")) {
        const waitMs = startedMs - arrivedAtMs;
        const serviceMs = performance.now() - startedMs;
        response.setHeader(
          "server-timing",
          `upstream_wait;dur=${waitMs.toFixed(3)}, upstream_service;dur=${
            serviceMs.toFixed(3)
          }`,
        );
      }
      const body = answerBody({ name: options.name, requestId, id, url });
      if (sendAnswer(response, body)) end("answered");
      else end("broken");
    };
    const workMs = nextServiceTimeMs();
    const deadlineMs = deadlineAtMs - performance.now();
    const late = workMs > deadlineMs;
    const timer = setTimeout(
      () => finish(late ? "deadline" : "answered"),
      Math.min(workMs, deadlineMs),
    );
    response.once("close", () => end("cancelled"));
  }

  /** Sends an answer; false where a planned failure broke it off. */
  function sendAnswer(response: ServerResponse, body: Buffer): boolean {
    const socket = response.socket;
    if (socket === null) return false;
    response.writeHead(200, {
      "content-type": "application/json",
      "content-length": body.length,
    });
    const step = failures.find(({ step }) =>
      step === "answer_head" || step === "answer_body"
    )?.step;
    if (step === undefined) {
      response.end(body);
      return true;
    }
    const part = body.subarray(
      0,
      step === "answer_head" ? 0 : Math.ceil(body.length / 2),
    );
    response.flushHeaders();
    // Without the wait the reset could overtake the part that was written.
    if (part.length > 0) response.write(part);
    setTimeout(() => failsAt(step, socket), FLUSH_MS);
    return false;
  }

  function answerHealth(response: ServerResponse): void {
    if (healthMode === "silent") return;
    if (healthMode === "error") return void response.writeHead(500).end();
    response.writeHead(200, { "content-type": "application/json" });
    response.end(JSON.stringify({
      state: lie.state ?? state,
      load: lie.load ?? running / slots,
    }));
  }

  function handle(request: IncomingMessage, response: ServerResponse): void {
    const run = () => {
      if (request.url === "/health") return answerHealth(response);
      request.resume();
      request.once("end", () => {
        if (failures.some(({ step }) => step === "request_read")) {
          failsAt("request_read", request.socket);
          return;
        }
        accept(request, response);
      });
    };
    if (frozen === undefined) run();
    else frozen.push(run);
  }

  const handlers: Handlers = {
    set_state: (order) => {
      state = order.state;
      drainingSinceMs = state === "draining" ? performance.now() : undefined;
    },
    lie: (order) => lie = { state: order.state, load: order.load },
    set_health: (order) => healthMode = order.mode,
    freeze: () => frozen ??= [],
    thaw: () => {
      const held = frozen ?? [];
      frozen = undefined;
      for (const resume of held) resume();
    },
    fail_at: ({ step, times, scope }) =>
      failures.push({
        step,
        scope: scope ?? "connection",
        remaining: times ?? 1,
      }),
    set_service_time: (order) => serviceTime = order.serviceTime,
    set_slots: (order) => slots = order.slots,
  };

  function control(order: UpstreamControl): void {
    (handlers[order.action] as (order: UpstreamControl) => void)(order);
  }

  const server = createServer(handle);
  server.on("connection", (socket) => {
    socket.on("error", () => {});
    connections.add(socket);
    socket.once("close", () => connections.delete(socket));
    if (failsAt("accepted", socket)) return;
    if (connections.size <= (options.connectionLimit ?? Infinity)) return;
    tell({ event: "connection_limit_exceeded" });
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
      return running;
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

/** Time for a written part to leave before the reset. */
const FLUSH_MS = 20;

function headerOf(request: IncomingMessage, name: string): string {
  return String(request.headers[name] ?? "");
}

/** Time left for a request; no end without the header. */
function deadlineMsOf(request: IncomingMessage): number {
  return Number(headerOf(request, HEADERS.deadlineMs) || Infinity);
}

function epochMs(): number {
  return performance.timeOrigin + performance.now();
}

interface AnswerBodyOptions {
  readonly name: string;
  readonly requestId: string;
  readonly id: string;
  readonly url: URL;
}

function answerBody({ name, requestId, id, url }: AnswerBodyOptions): Buffer {
  const path = `${url.pathname}${url.search}`;
  const fields = { upstream: name, requestId, id, path };
  const wantedBytes = Number(url.searchParams.get("answer_bytes") ?? 0);
  const bareBytes = Buffer.byteLength(JSON.stringify({ ...fields, pad: "" }));
  if (wantedBytes <= bareBytes) return Buffer.from(JSON.stringify(fields));
  const pad = paddingOf(id, wantedBytes - bareBytes);
  return Buffer.from(JSON.stringify({ ...fields, pad }));
}

/** Padding that differs between ids, so that mixed-up answers are noticed. */
export function paddingOf(id: string, sizeBytes: number): string {
  const unit = `${id || "x"}.`;
  return unit.repeat(Math.ceil(sizeBytes / unit.length)).slice(0, sizeBytes);
}
