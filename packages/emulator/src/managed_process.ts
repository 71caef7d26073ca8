import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createInterface } from "node:readline";
import type { Readable } from "node:stream";
import { LogBuffer } from "./log_buffer.ts";

/** Options of `ManagedProcess`. */
export interface ManagedProcessOptions {
  /** Node program and its arguments. */
  readonly args: readonly string[];
  /** Called with each line of standard output. */
  readonly onLine?: (line: string) => void;
  /** Receives the lines of standard output and standard error; a new buffer by default. */
  readonly log?: LogBuffer;
  /** Kills the program when this process ends; for programs that do not watch standard input. */
  readonly endWithThisProcess?: boolean;
  /** Environment variables for the program, added to those that it inherits from this process. */
  readonly environment?: Readonly<Record<string, string>>;
  /** Starts the process in a process group of its own, out of reach of a terminal's ctrl-C. */
  readonly ownProcessGroup?: boolean;
}

/** Time that a process has to end after SIGTERM before it is killed. */
const STOP_GRACE_MS = 5_000;

/**
 * Loaded before the program, which it kills when standard input closes. That happens when this process
 * ends, even by `kill -9`, which runs no exit hook.
 */
const STDIN_GUARD = "data:text/javascript," + encodeURIComponent(
  `import { Socket } from "node:net";
   const input = new Socket({ fd: 0 });
   input.on("error", () => {});
   input.on("close", () => process.kill(process.pid, "SIGKILL"));
   input.resume();
   input.unref();`,
);

const runningProcesses = new Set<ChildProcess>();
let exitHookInstalled = false;

/** A Node process that is killed when this one exits. */
export class ManagedProcess {
  readonly log: LogBuffer;
  readonly #child: ChildProcess;
  readonly #exited: Promise<unknown>;

  constructor(options: ManagedProcessOptions) {
    installExitHook();
    this.log = options.log ?? new LogBuffer();
    const guard = options.endWithThisProcess ? ["--import", STDIN_GUARD] : [];
    this.#child = spawn(process.execPath, [...guard, ...options.args], {
      stdio: ["pipe", "pipe", "pipe"],
      env: { ...process.env, ...options.environment },
      detached: options.ownProcessGroup ?? false,
    });
    runningProcesses.add(this.#child);
    this.#exited = once(this.#child, "close").finally(() =>
      runningProcesses.delete(this.#child)
    );
    this.#child.stdin!.on("error", () => {});
    this.#readLines(this.#child.stdout!, options.onLine);
    this.#readLines(this.#child.stderr!, undefined);
  }

  get pid(): number | undefined {
    return this.#child.pid;
  }

  get isRunning(): boolean {
    return this.#child.exitCode === null && this.#child.signalCode === null;
  }

  get exitCode(): number | null {
    return this.#child.exitCode;
  }

  /** Sends a line to standard input. */
  writeLine(line: string): void {
    this.#child.stdin!.write(`${line}\n`);
  }

  /** Suspends the process, as `kill -STOP` does. */
  pause(): void {
    this.#child.kill("SIGSTOP");
  }

  resume(): void {
    this.#child.kill("SIGCONT");
  }

  /**
   * Sends SIGHUP. A sidecar (see `runSidecar`) then reloads its settings. A program without a handler for SIGHUP
   * ends.
   */
  reload(): void {
    this.#child.kill("SIGHUP");
  }

  /** Kills the process and waits for its end. */
  async kill(): Promise<void> {
    this.#child.kill("SIGKILL");
    await this.#exited;
  }

  /** Asks the process to end and waits for it; kills it when `graceMs` have passed. */
  async stop(graceMs: number = STOP_GRACE_MS): Promise<void> {
    if (this.isRunning) {
      this.#child.kill("SIGCONT");
      this.#child.kill("SIGTERM");
    }
    const timer = setTimeout(() => this.#child.kill("SIGKILL"), graceMs);
    await this.#exited;
    clearTimeout(timer);
  }

  #readLines(stream: Readable, onLine?: (line: string) => void): void {
    createInterface({ input: stream }).on("line", (line) => {
      this.log.add(line);
      onLine?.(line);
    });
  }
}

function installExitHook(): void {
  if (exitHookInstalled) return;
  exitHookInstalled = true;
  process.once("exit", killRunningProcesses);
}

function killRunningProcesses(): void {
  for (const child of runningProcesses) child.kill("SIGKILL");
}

/** Kills all processes started here when a signal ends this one, as when a test runner times out. */
export function killProcessesOnSignals(): void {
  for (const signal of ["SIGTERM", "SIGINT", "SIGHUP"] as const) {
    process.once(signal, () => {
      killRunningProcesses();
      process.kill(process.pid, signal);
    });
  }
}
