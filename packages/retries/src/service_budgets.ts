/** Options of `ServiceBudgets`. */
export interface ServiceBudgetsOptions {
  /** Repeats that all daemons together may send, relative to the requests for a service. */
  readonly ratio: number;
  /** Repeats beyond the ratio that all daemons together may send to a service in a window. */
  readonly slack: number;
  readonly windowMs: number;
  /** Daemons that send requests to the service. */
  readonly daemons: () => number;
  /** Monotonic time in milliseconds. */
  readonly nowMs?: () => number;
}

/**
 * Share of the ratio that a daemon uses. The rest covers the calls that a
 * repeated run makes: they count as repeats at the service that they go to,
 * which may have fewer requests than the services that call it.
 */
const RATIO_USED = 0.3;

/** Share of the slack that daemons use together, for the same reason. */
const SLACK_USED = 0.3;

/** Tokens that a daemon may always save up, so that a small part of the slack allows a repeat at all. */
const MIN_SAVED_TOKENS = 1.5;

interface Tokens {
  count: number;
  atMs: number;
}

/**
 * Bounds the repeats to each service without shared state: every daemon earns
 * by its own requests and has an equal part of the slack.
 */
export class ServiceBudgets {
  readonly #options: ServiceBudgetsOptions;
  readonly #nowMs: () => number;
  readonly #tokens = new Map<string, Tokens>();

  constructor(options: ServiceBudgetsOptions) {
    this.#options = options;
    this.#nowMs = options.nowMs ?? (() => performance.now());
  }

  /** Earns a part of a token; to be called once for each request, not for repeats. */
  recordRequest(service: string): void {
    const tokens = this.#refilled(service);
    tokens.count += this.#options.ratio * RATIO_USED;
    // What was earned long ago counts in no window.
    const savedMax = Math.max(MIN_SAVED_TOKENS, 2 * this.#slackPart());
    tokens.count = Math.min(tokens.count, savedMax);
  }

  /** Takes a token for one repeat and returns true, or returns false if there is none. */
  tryTake(service: string): boolean {
    const tokens = this.#refilled(service);
    if (tokens.count < 1) return false;
    tokens.count -= 1;
    return true;
  }

  /** Tokens left for a service. */
  left(service: string): number {
    return this.#refilled(service).count;
  }

  #slackPart(): number {
    const daemons = Math.max(1, this.#options.daemons());
    return this.#options.slack * SLACK_USED / daemons;
  }

  #refilled(service: string): Tokens {
    const nowMs = this.#nowMs();
    const part = this.#slackPart();
    const known = this.#tokens.get(service);
    if (known === undefined) {
      const tokens = { count: part, atMs: nowMs };
      this.#tokens.set(service, tokens);
      return tokens;
    }
    const refill = part * (nowMs - known.atMs) / this.#options.windowMs;
    if (known.count < part) known.count = Math.min(part, known.count + refill);
    known.atMs = nowMs;
    return known;
  }
}
