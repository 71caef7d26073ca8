/** The requests that an upstream sends while it runs a request, as far as its daemon sees them. */
export class OwnCalls {
  readonly #nowMs: () => number;
  #inFlight = 0;
  #sinceMs = 0;
  #waitedMs = 0;

  constructor(nowMs: () => number = () => performance.now()) {
    this.#nowMs = nowMs;
  }

  /** Time in which at least one of them was in flight. */
  get waitedMs(): number {
    return this.#inFlight === 0
      ? this.#waitedMs
      : this.#waitedMs + this.#nowMs() - this.#sinceMs;
  }

  begin(): void {
    if (this.#inFlight === 0) this.#sinceMs = this.#nowMs();
    this.#inFlight += 1;
  }

  end(): void {
    this.#inFlight -= 1;
    if (this.#inFlight === 0) this.#waitedMs += this.#nowMs() - this.#sinceMs;
  }
}
