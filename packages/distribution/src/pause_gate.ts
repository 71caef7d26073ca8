import type { Clock } from "@tanagercove/membership";

/** Options of `PauseGate`. */
export interface PauseGateOptions {
  readonly clock: Clock;
  /** Brings the daemon up to date after a pause of this length. */
  readonly refresh: (pausedMs: number) => Promise<unknown>;
  readonly checkIntervalMs?: number;
  /** The process counts as paused when the timer is late by more than this. */
  readonly thresholdMs?: number;
  /** Longest time for which the gate stays closed. */
  readonly maxWaitMs?: number;
}

/** Detects that the process was paused, and makes requests wait until it is up to date. */
export class PauseGate {
  readonly #options: Required<PauseGateOptions>;
  readonly #stop = new AbortController();
  #task: Promise<void> | undefined;
  #firedAtMs: number;
  #closedUntil: Promise<void> | undefined;
  #pauses = 0;

  constructor(options: PauseGateOptions) {
    this.#options = {
      checkIntervalMs: 250,
      thresholdMs: 1_000,
      maxWaitMs: 500,
      ...options,
    };
    this.#firedAtMs = options.clock.nowMs();
  }

  /** Pauses detected since the start. */
  get pauses(): number {
    return this.#pauses;
  }

  start(): void {
    this.#firedAtMs = this.#options.clock.nowMs();
    this.#task = this.#run();
  }

  async close(): Promise<void> {
    this.#stop.abort();
    await this.#task;
  }

  /**
   * Resolves at once if the process was not paused. After a pause, resolves when the daemon is up to date again or
   * when `maxWaitMs` has passed.
   */
  whenFresh(): Promise<void> {
    // A request can be handled before the late timer fires.
    this.#check();
    return this.#closedUntil ?? Promise.resolve();
  }

  async #run(): Promise<void> {
    const signal = this.#stop.signal;
    while (!signal.aborted) {
      await this.#options.clock.sleep(this.#options.checkIntervalMs, signal);
      this.#check();
      this.#firedAtMs = this.#options.clock.nowMs();
    }
  }

  #check(): void {
    const { clock, checkIntervalMs, thresholdMs } = this.#options;
    const lateMs = clock.nowMs() - this.#firedAtMs - checkIntervalMs;
    if (lateMs <= thresholdMs || this.#stop.signal.aborted) return;
    this.#firedAtMs = clock.nowMs();
    this.#pauses += 1;
    this.#closedUntil = this.#refresh(lateMs);
  }

  async #refresh(pausedMs: number): Promise<void> {
    const { refresh, clock, maxWaitMs } = this.#options;
    const pauseNumber = this.#pauses;
    await Promise.race([refresh(pausedMs), clock.sleep(maxWaitMs)]);
    if (this.#pauses === pauseNumber) this.#closedUntil = undefined;
  }
}
