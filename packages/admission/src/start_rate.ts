/** Time whose share of the limit may be used at once after a pause. */
const BURST_MS = 250;

/** Limits how many requests start per second, by a token bucket. Without a limit, any number may start. */
export class StartRate {
  #limitPerSecond: number | undefined;
  #tokens = 1;
  #updatedAtMs = 0;

  /** Requests per second that may start; undefined without a limit. */
  get limitPerSecond(): number | undefined {
    return this.#limitPerSecond;
  }

  /** Sets the limit, a positive number, or removes it with undefined. A new limit begins with one token. */
  setLimit(limitPerSecond: number | undefined, nowMs: number): void {
    this.#refill(nowMs);
    if (this.#limitPerSecond === undefined) this.#tokens = 1;
    this.#limitPerSecond = limitPerSecond;
  }

  /** Number of requests that may start now. */
  available(nowMs: number): number {
    if (this.#limitPerSecond === undefined) return Infinity;
    this.#refill(nowMs);
    return Math.floor(this.#tokens);
  }

  /** Time until this many requests may have started. */
  delayMs(requestCount: number, nowMs: number): number {
    if (this.#limitPerSecond === undefined) return 0;
    this.#refill(nowMs);
    const missing = Math.max(0, requestCount - this.#tokens);
    return missing * 1_000 / this.#limitPerSecond;
  }

  /** Records that a request starts. */
  take(nowMs: number): void {
    this.#refill(nowMs);
    this.#tokens -= 1;
  }

  /** Takes back a start, since the request was not sent. */
  giveBack(): void {
    this.#tokens += 1;
  }

  #refill(nowMs: number): void {
    const elapsedMs = nowMs - this.#updatedAtMs;
    this.#updatedAtMs = nowMs;
    if (this.#limitPerSecond === undefined) return;
    const burst = Math.max(1, this.#limitPerSecond * BURST_MS / 1_000);
    const earned = elapsedMs * this.#limitPerSecond / 1_000;
    this.#tokens = Math.min(burst, this.#tokens + earned);
  }
}
