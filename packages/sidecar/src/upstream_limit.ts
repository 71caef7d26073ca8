/** Requests per second below which a limit is not applied: without any request, its end would not be seen. */
const MIN_LIMIT_PER_SECOND = 1;

/** Answers that were written before the limit began may arrive this long after the first one that names it. */
const REORDERED_MS = 250;

/** Options of `UpstreamLimit`. */
export interface UpstreamLimitOptions {
  readonly onChange: (limitPerSecond: number | undefined) => void;
  /** Monotonic time in milliseconds. */
  readonly nowMs?: () => number;
}

/** The number of requests per second that an upstream takes, according to its answers. */
export class UpstreamLimit {
  readonly #onChange: (limitPerSecond: number | undefined) => void;
  readonly #nowMs: () => number;
  #limitPerSecond: number | undefined;
  #namedAtMs = -Infinity;

  constructor(options: UpstreamLimitOptions) {
    this.#onChange = options.onChange;
    this.#nowMs = options.nowMs ?? (() => performance.now());
  }

  /** Records the limit field of an answer; without a valid number, the answer names no limit. */
  record(field: string | string[] | undefined): void {
    const named = decodeLimit(field);
    const nowMs = this.#nowMs();
    if (named !== undefined) this.#namedAtMs = nowMs;
    else if (nowMs - this.#namedAtMs < REORDERED_MS) return;
    if (named === this.#limitPerSecond) return;
    this.#limitPerSecond = named;
    this.#onChange(named);
  }
}

function decodeLimit(field: string | string[] | undefined): number | undefined {
  if (typeof field !== "string" || field.trim() === "") return undefined;
  const limitPerSecond = Number(field);
  return limitPerSecond >= 0 && limitPerSecond < Infinity
    ? Math.max(MIN_LIMIT_PER_SECOND, limitPerSecond)
    : undefined;
}
