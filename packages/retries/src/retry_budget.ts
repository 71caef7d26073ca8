/** Options of `RetryBudget`. */
export interface RetryBudgetOptions {
  /** Tokens earned by each first attempt. */
  readonly earnedPerAttempt?: number;
  readonly maxTokens?: number;
  readonly startTokens?: number;
}

// With 0.08 a daemon in a full outage sends 1.08 attempts per request, and the
// 2 tokens at the start keep it under 1.1 from 100 requests on.
const EARNED_PER_ATTEMPT = 0.08;
const MAX_TOKENS = 10;
const START_TOKENS = 2;

/** Bounds the retries of a daemon to a share of its first attempts. */
export class RetryBudget {
  readonly #earnedPerAttempt: number;
  readonly #maxTokens: number;
  #tokens: number;

  constructor(options: RetryBudgetOptions = {}) {
    this.#earnedPerAttempt = options.earnedPerAttempt ?? EARNED_PER_ATTEMPT;
    this.#maxTokens = options.maxTokens ?? MAX_TOKENS;
    this.#tokens = options.startTokens ?? START_TOKENS;
  }

  /** Earns a part of a token; to be called once for each request, not for retries. */
  recordFirstAttempt(): void {
    this.#tokens = Math.min(
      this.#maxTokens,
      this.#tokens + this.#earnedPerAttempt,
    );
  }

  /** Takes a token for one retry and returns true, or returns false if there is none. */
  tryTake(): boolean {
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}
