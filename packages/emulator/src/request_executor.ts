import type { IncomingMessage, ServerResponse } from "node:http";
import { HEADERS } from "@tanagercove/types";
import { answerBody } from "./answer_body.ts";
import type { ExecutionEnd, ExecutionEvent } from "./execution_log.ts";
import type { Freezer } from "./freezer.ts";
import type { PlannedFailures } from "./planned_failures.ts";
import type { ExchangeStep } from "./upstream_control.ts";

/**
 * What happens to requests while all slots are taken: `shed` refuses them as not started, `wait` queues
 * them in order of arrival, as a server that only limits its connections does.
 */
export type OverloadMode = "shed" | "wait";

/** Options of `RequestExecutor`. */
export interface RequestExecutorOptions {
  readonly name: string;
  /** Number of requests that can run concurrently. */
  readonly slots: number;
  readonly overload: OverloadMode;
  readonly serviceTimeMs: () => number;
  /**
   * Time since a command last set the state to `draining`; undefined in other states, and if the
   * upstream was started as `draining`.
   */
  readonly drainingForMs: () => number | undefined;
  readonly freezer: Freezer;
  readonly failures: PlannedFailures;
  /** Carries out a planned failure. */
  readonly fail: (step: ExchangeStep, response: ServerResponse) => void;
  readonly onEvent: (event: ExecutionEvent) => void;
}

interface WaitingRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
}

/** Delay of a planned failure in an answer, so that the part already written is sent before it. */
const FLUSH_DELAY_MS = 20;

/** Runs requests in the slots of an upstream and answers them. */
export class RequestExecutor {
  readonly #options: RequestExecutorOptions;
  readonly #waiting: WaitingRequest[] = [];
  #slots: number;
  #running = 0;
  #lastNumber = 0;

  constructor(options: RequestExecutorOptions) {
    this.#options = options;
    this.#slots = options.slots;
  }

  get running(): number {
    return this.#running;
  }

  /** Running requests per slot. */
  get load(): number {
    return this.#running / this.#slots;
  }

  setSlots(slots: number): void {
    this.#slots = slots;
  }

  /** Runs a request; while all slots are taken, queues or refuses it. */
  accept(request: IncomingMessage, response: ServerResponse): void {
    const arrivedAtMs = performance.now();
    const deadlineAtMs = arrivedAtMs + deadlineMsOf(request);
    const accepted = { request, response, arrivedAtMs, deadlineAtMs };
    if (this.#running < this.#slots) this.#execute(accepted);
    else if (this.#options.overload === "wait") this.#waiting.push(accepted);
    else this.shed(response);
  }

  /** Refuses a request as not started. */
  shed(response: ServerResponse): void {
    this.#options.onEvent({ event: "shed" });
    response.writeHead(503, { [HEADERS.notStarted]: "true" }).end();
  }

  #startWaiting(): void {
    while (this.#running < this.#slots) {
      const next = this.#waiting.shift();
      if (next === undefined) return;
      // The caller disconnected while its request was queued.
      if (next.response.destroyed) continue;
      if (performance.now() >= next.deadlineAtMs) this.shed(next.response);
      else this.#execute(next);
    }
  }

  #execute(
    { request, response, arrivedAtMs, deadlineAtMs }: WaitingRequest,
  ): void {
    const { name, freezer, onEvent } = this.#options;
    const url = new URL(request.url ?? "/", "http://upstream");
    const id = url.searchParams.get("id") ?? "";
    const requestId = headerOf(request, HEADERS.requestId);
    const startedAtMs = performance.now();
    const number = this.#start({ id, requestId, method: request.method ?? "" });

    let ended = false;
    const end = (executionEnd: ExecutionEnd) => {
      if (ended) return;
      ended = true;
      this.#running -= 1;
      clearTimeout(timer);
      onEvent({
        event: "execution_ended",
        number,
        end: executionEnd,
        atMs: epochMs(),
      });
      this.#startWaiting();
    };
    const finish = (executionEnd: "answered" | "deadline") => {
      if (ended) return;
      if (executionEnd === "deadline") {
        end(executionEnd);
        response.writeHead(504).end();
        return;
      }
      if (url.searchParams.has("timing")) {
        response.setHeader(
          "server-timing",
          formatTiming({ arrivedAtMs, startedAtMs }),
        );
      }
      const body = answerBody({ name, requestId, id, url });
      end(this.#sendAnswer(response, body) ? "answered" : "broken");
    };
    const serviceTimeMs = this.#options.serviceTimeMs();
    const deadlineMs = deadlineAtMs - performance.now();
    const executionEnd = serviceTimeMs > deadlineMs ? "deadline" : "answered";
    const timer = setTimeout(
      () => freezer.run(() => finish(executionEnd)),
      Math.min(serviceTimeMs, deadlineMs),
    );
    response.once("close", () => end("cancelled"));
  }

  /** Takes a slot and returns the number of the execution. */
  #start(
    started: {
      readonly id: string;
      readonly requestId: string;
      readonly method: string;
    },
  ): number {
    this.#lastNumber += 1;
    this.#running += 1;
    this.#options.onEvent({
      event: "execution_started",
      number: this.#lastNumber,
      ...started,
      atMs: epochMs(),
      drainingForMs: this.#options.drainingForMs(),
    });
    return this.#lastNumber;
  }

  /**
   * Sends an answer; false if a planned failure cuts it off, or if none is sent because the response
   * is not attached to a socket.
   */
  #sendAnswer(response: ServerResponse, body: Buffer): boolean {
    const { failures, fail } = this.#options;
    if (response.socket === null) return false;
    response.writeHead(200, {
      "content-type": "application/json",
      "content-length": body.length,
    });
    const step = failures.nextPlannedStep("answer_head", "answer_body");
    if (step === undefined) {
      response.end(body);
      return true;
    }
    response.flushHeaders();
    // Without the delay below, the reset could overtake the part that is written here.
    if (step === "answer_body") {
      response.write(body.subarray(0, Math.ceil(body.length / 2)));
    }
    setTimeout(() => fail(step, response), FLUSH_DELAY_MS);
    return false;
  }
}

/** Value of `server-timing`: how long a request waited for a slot and how long it ran. */
function formatTiming(
  { arrivedAtMs, startedAtMs }: {
    readonly arrivedAtMs: number;
    readonly startedAtMs: number;
  },
): string {
  const waitMs = startedAtMs - arrivedAtMs;
  const serviceMs = performance.now() - startedAtMs;
  return `upstream_wait;dur=${waitMs.toFixed(3)}, upstream_service;dur=${
    serviceMs.toFixed(3)
  }`;
}

function headerOf(request: IncomingMessage, name: string): string {
  return String(request.headers[name] ?? "");
}

/** Time left until a request's deadline; infinite without the header. */
function deadlineMsOf(request: IncomingMessage): number {
  return Number(headerOf(request, HEADERS.deadlineMs) || Infinity);
}

function epochMs(): number {
  return performance.timeOrigin + performance.now();
}
