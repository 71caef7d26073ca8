import { logEvent, type Logger } from "@tanagercove/logs";

/** A failed TLS handshake, or a connection or message refused because of a key or an identity. */
export interface Refusal {
  /** Whether the other daemon or this one opened the connection. */
  readonly direction: "incoming" | "outgoing";
  readonly address: string;
  readonly reason: string;
}

/** Limits the rate of log lines, so that a hostile sender cannot fill the log. */
const LOG_INTERVAL_MS = 10_000;

/** Counts refusals and logs at most one per interval, with the number of refusals since the last one logged. */
export class Refusals {
  readonly #log: Logger;
  #count = 0;
  #loggedCount = 0;
  #loggedAtMs = -Infinity;

  constructor(log: Logger) {
    this.#log = log;
  }

  get count(): number {
    return this.#count;
  }

  record({ direction, address, reason }: Refusal): void {
    this.#count += 1;
    const nowMs = performance.now();
    if (nowMs - this.#loggedAtMs < LOG_INTERVAL_MS) return;
    logEvent(this.#log, {
      event: "peer_refused",
      direction,
      peer_address: address,
      reason,
      refusals: this.#count - this.#loggedCount,
    });
    this.#loggedAtMs = nowMs;
    this.#loggedCount = this.#count;
  }
}
