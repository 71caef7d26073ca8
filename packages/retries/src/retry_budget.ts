/** Options of `RetryBudget`. */
export interface RetryBudgetOptions {
  /** Tokens added for each first attempt. */
  readonly tokensPerFirstAttempt?: number;
  readonly maxTokens?: number;
  readonly initialTokens?: number;
}

// With 0.08 tokens a daemon sends 1.08 attempts per request in a full outage. With
// the 2 initial tokens it sends at most 1.1 per request from 100 requests on.
const TOKENS_PER_FIRST_ATTEMPT = 0.08;
const MAX_TOKENS = 10;
const INITIAL_TOKENS = 2;

/** Limits the retries of a daemon to a share of its first attempts. */
export class RetryBudget {
  readonly #tokensPerFirstAttempt: number;
  readonly #maxTokens: number;
  #tokens: number;

  constructor(options: RetryBudgetOptions = {}) {
    this.#tokensPerFirstAttempt = options.tokensPerFirstAttempt ??
      TOKENS_PER_FIRST_ATTEMPT;
    this.#maxTokens = options.maxTokens ?? MAX_TOKENS;
    this.#tokens = options.initialTokens ?? INITIAL_TOKENS;
  }

  /** Adds a fraction of a token; to be called once for each request, not for retries. */
  recordFirstAttempt(): void {
    this.#tokens = Math.min(
      this.#maxTokens,
      this.#tokens + this.#tokensPerFirstAttempt,
    );
  }

  /** Takes a token for one retry; false if there is none. */
  tryTake(): boolean {
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}
