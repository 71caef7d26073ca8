/**
 * How an execution ended; `broken`: a planned failure cut the answer off, or no answer was sent
 * because the response was not attached to a socket.
 */
export type ExecutionEnd = "answered" | "cancelled" | "deadline" | "broken";

/** An execution that starts or ends, a request that is shed, or a connection beyond the limit. */
export type ExecutionEvent =
  | {
    readonly event: "execution_started";
    /** Number of the execution in its upstream process, counted from 1. */
    readonly number: number;
    /** The `id` in the query string of the request, chosen by the caller. */
    readonly id: string;
    /** The header `tanagercove-request-id`. */
    readonly requestId: string;
    readonly method: string;
    /** Milliseconds since the epoch. */
    readonly atMs: number;
    /**
     * Time since a command last set the state to `draining`; undefined in other states, and if the
     * upstream was started as `draining`.
     */
    readonly drainingForMs?: number;
  }
  | {
    readonly event: "execution_ended";
    readonly number: number;
    readonly end: ExecutionEnd;
    readonly atMs: number;
  }
  | { readonly event: "shed" }
  | { readonly event: "connection_limit_exceeded" };

/** One execution of a request. */
export interface Execution {
  readonly id: string;
  readonly requestId: string;
  readonly method: string;
  readonly startedAtMs: number;
  readonly drainingForMs: number | undefined;
  readonly endedAtMs: number | undefined;
  readonly end: ExecutionEnd | undefined;
}

/** Record of the executions of one upstream process; it outlives the process. */
export class ExecutionLog {
  readonly #executions = new Map<number, Execution>();
  readonly #countByRequestId = new Map<string, number>();
  #shedCount = 0;
  #connectionLimitViolations = 0;

  record(event: ExecutionEvent): void {
    if (event.event === "shed") {
      this.#shedCount += 1;
      return;
    }
    if (event.event === "connection_limit_exceeded") {
      this.#connectionLimitViolations += 1;
      return;
    }
    if (event.event === "execution_started") return this.#start(event);
    const execution = this.#executions.get(event.number);
    if (execution === undefined) return;
    const { end, atMs: endedAtMs } = event;
    this.#executions.set(event.number, { ...execution, end, endedAtMs });
  }

  get all(): readonly Execution[] {
    return [...this.#executions.values()];
  }

  /** Number of executions started, by request id. */
  get countByRequestId(): ReadonlyMap<string, number> {
    return this.#countByRequestId;
  }

  /** Requests refused with `tanagercove-not-started`. */
  get shedCount(): number {
    return this.#shedCount;
  }

  /** Connections opened beyond the limit. */
  get connectionLimitViolations(): number {
    return this.#connectionLimitViolations;
  }

  #start(event: Extract<ExecutionEvent, { event: "execution_started" }>): void {
    const { number, id, requestId, method, atMs, drainingForMs } = event;
    this.#executions.set(number, {
      id,
      requestId,
      method,
      startedAtMs: atMs,
      drainingForMs,
      endedAtMs: undefined,
      end: undefined,
    });
    const count = this.#countByRequestId.get(requestId) ?? 0;
    this.#countByRequestId.set(requestId, count + 1);
  }
}
