/** Options of `ServiceBudgets`. */
export interface ServiceBudgetsOptions {
  /** Retries that all daemons together may send, as a ratio of the requests for a service. */
  readonly ratio: number;
  /** Additional retries that all daemons together may send to a service in a window. */
  readonly slack: number;
  readonly windowMs: number;
  /** Number of daemons among which the slack of a service is divided. */
  readonly daemons: () => number;
  /** Monotonic time in milliseconds. */
  readonly nowMs?: () => number;
}

/**
 * Share of the ratio that a daemon uses. The rest is reserved for the nested
 * calls of a retried run: they count as retries at the called service, which
 * may get fewer requests than the services that call it.
 */
const RATIO_USED = 0.3;

/** Share of the slack that is divided among the daemons. The rest is reserved for nested calls, as for `RATIO_USED`. */
const SLACK_USED = 0.3;

/** Minimum token limit of a daemon, so that it can afford a retry even if its part of the slack is small. */
const MIN_SAVED_TOKENS = 1.5;

interface TokenBucket {
  count: number;
  refilledAtMs: number;
}

/**
 * Bounds the retries to each service without shared state: every daemon gets
 * tokens for its own requests and an equal part of the slack.
 */
export class ServiceBudgets {
  readonly #options: ServiceBudgetsOptions;
  readonly #nowMs: () => number;
  readonly #tokens = new Map<string, TokenBucket>();

  constructor(options: ServiceBudgetsOptions) {
    this.#options = options;
    this.#nowMs = options.nowMs ?? (() => performance.now());
  }

  /** Adds a fraction of a token; to be called once for each request, not for retries. */
  recordRequest(service: string): void {
    const tokens = this.#refill(service);
    tokens.count += this.#options.ratio * RATIO_USED;
    // Limits the tokens saved up, since requests of earlier windows allow no retries in this one.
    const maxTokens = Math.max(MIN_SAVED_TOKENS, 2 * this.#slackPerDaemon());
    tokens.count = Math.min(tokens.count, maxTokens);
  }

  /** Takes a token for one retry; false if there is none. */
  tryTake(service: string): boolean {
    const tokens = this.#refill(service);
    if (tokens.count < 1) return false;
    tokens.count -= 1;
    return true;
  }

  /** Number of tokens left for a service. */
  tokensLeft(service: string): number {
    return this.#refill(service).count;
  }

  #slackPerDaemon(): number {
    const daemons = Math.max(1, this.#options.daemons());
    return this.#options.slack * SLACK_USED / daemons;
  }

  #refill(service: string): TokenBucket {
    const nowMs = this.#nowMs();
    const slack = this.#slackPerDaemon();
    const held = this.#tokens.get(service);
    if (held === undefined) {
      const tokens = { count: slack, refilledAtMs: nowMs };
      this.#tokens.set(service, tokens);
      return tokens;
    }
    const refill = slack * (nowMs - held.refilledAtMs) /
      this.#options.windowMs;
    if (held.count < slack) held.count = Math.min(slack, held.count + refill);
    held.refilledAtMs = nowMs;
    return held;
  }
}
