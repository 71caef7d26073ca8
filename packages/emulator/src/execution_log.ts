/** How an execution ended. `broken`: the stand-in broke the exchange off by order. */
export type ExecutionEnd = "answered" | "cancelled" | "deadline" | "broken";

/** Told when an upstream begins or ends to execute a request. */
export type ExecutionEvent =
  | {
    readonly event: "execution_started";
    /** Counts the executions of one upstream process. */
    readonly number: number;
    /** The `id` in the request's path, which a caller chose. */
    readonly id: string;
    /** The header `tanagercove-request-id`. */
    readonly requestId: string;
    readonly method: string;
    /** Milliseconds since the epoch. */
    readonly atMs: number;
    /** Time since the upstream began to drain, where it did. */
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

/** Records the executions of one upstream process, also after it was killed. */
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

  /** Executions started, by request id. */
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
