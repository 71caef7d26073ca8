import { resolve } from "node:path";
import { type ExecutionEvent, ExecutionLog } from "./execution_log.ts";
import { LogBuffer } from "./log_buffer.ts";
import { ManagedProcess } from "./managed_process.ts";
import type { UpstreamControl } from "./upstream_control.ts";
import type { StartUpstreamStandInOptions } from "./upstream_stand_in.ts";

/** Options of `startUpstreamProcess`: those of the stand-in that can be passed to a process. */
export interface StartUpstreamProcessOptions extends
  Omit<
    StartUpstreamStandInOptions,
    "onEvent" | "crash" | "port" | "host" | "serviceTimeMs"
  > {
  readonly host: string;
  readonly port: number;
  readonly ownProcessGroup?: boolean;
}

/** Lines that an upstream process writes. */
export type UpstreamProcessLine =
  | ExecutionEvent
  | { readonly event: "upstream_ready"; readonly port: number }
  | {
    readonly event: "control_done";
    readonly action: UpstreamControl["action"];
  };

const PROGRAM = resolve("dist/emulator.cjs");
const RESPONSE_TIMEOUT_MS = 10_000;

/** An upstream stand-in in a separate process. */
export class UpstreamProcess {
  /** One log per start of the process; the executions are known even after a kill. */
  readonly logs: ExecutionLog[] = [];
  readonly output = new LogBuffer();
  readonly #options: StartUpstreamProcessOptions;
  #process: ManagedProcess | undefined;
  #onReady: (() => void) | undefined;
  #onControlDone: (() => void)[] = [];

  constructor(options: StartUpstreamProcessOptions) {
    this.#options = options;
  }

  get port(): number {
    return this.#options.port;
  }

  /** Undefined before the first start. */
  get pid(): number | undefined {
    return this.#process?.pid;
  }

  get isRunning(): boolean {
    return this.#process?.isRunning ?? false;
  }

  /** Starts the process and waits until it listens; a process that does not in time is killed. */
  async start(): Promise<void> {
    const log = new ExecutionLog();
    this.logs.push(log);
    const ready = new Promise<void>((resolve) => this.#onReady = resolve);
    this.#process = new ManagedProcess({
      args: [PROGRAM, "upstream", ...argumentsOf(this.#options)],
      log: this.output,
      ownProcessGroup: this.#options.ownProcessGroup,
      onLine: (line) => this.#onLine(line, log),
    });
    try {
      await withTimeout(ready, `Upstream "${this.#options.name}" is not ready`);
    } catch (error) {
      await this.kill();
      throw error;
    }
  }

  /** Sends a command and waits until the process has carried it out. */
  async control(command: UpstreamControl): Promise<void> {
    const done = new Promise<void>((resolve) =>
      this.#onControlDone.push(resolve)
    );
    this.#process?.writeLine(JSON.stringify(command));
    await withTimeout(
      done,
      `Upstream "${this.#options.name}" did not confirm a command`,
    );
  }

  pause(): void {
    this.#process?.pause();
  }

  resume(): void {
    this.#process?.resume();
  }

  async kill(): Promise<void> {
    await this.#process?.kill();
  }

  async close(): Promise<void> {
    await this.#process?.stop();
  }

  #onLine(line: string, log: ExecutionLog): void {
    const event = parseLine(line);
    if (event === undefined) return;
    if (event.event === "upstream_ready") return this.#onReady?.();
    if (event.event === "control_done") return this.#onControlDone.shift()?.();
    log.record(event);
  }
}

/** Starts an upstream stand-in as a process and waits until it listens. */
export async function startUpstreamProcess(
  options: StartUpstreamProcessOptions,
): Promise<UpstreamProcess> {
  const upstream = new UpstreamProcess(options);
  await upstream.start();
  return upstream;
}

function argumentsOf(options: StartUpstreamProcessOptions): string[] {
  const { shape, meanMs } = options.serviceTime ??
    { shape: "fixed", meanMs: 0 };
  const values: Readonly<Record<string, string | number | undefined>> = {
    "name": options.name,
    "host": options.host,
    "port": options.port,
    "seed": options.seed,
    "service-time-shape": shape,
    "service-time-ms": meanMs,
    "slots": options.slots,
    "overload": options.overload,
    "connection-limit": options.connectionLimit,
    "cold-ms": options.coldMs,
    "cold-factor": options.coldFactor,
    "state": options.state,
  };
  return Object.entries(values)
    .filter(([, value]) => value !== undefined)
    .flatMap(([name, value]) => [`--${name}`, String(value)])
    .concat("--exit-with-stdin");
}

function parseLine(line: string): UpstreamProcessLine | undefined {
  try {
    return JSON.parse(line) as UpstreamProcessLine;
  } catch {
    return undefined;
  }
}

async function withTimeout(
  task: Promise<void>,
  message: string,
): Promise<void> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<never>((_, reject) => {
    timer = setTimeout(
      () => reject(new Error(`${message} after ${RESPONSE_TIMEOUT_MS} ms`)),
      RESPONSE_TIMEOUT_MS,
    );
  });
  await Promise.race([task, timeout]).finally(() => clearTimeout(timer));
}
