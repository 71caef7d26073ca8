import { setImmediate as nextTurn } from "node:timers/promises";
import type { Clock } from "@tanagercove/membership";

interface Timer {
  readonly atMs: number;
  readonly fire: () => void;
}

/** Clock whose time moves only when a test says so. */
export class VirtualClock implements Clock {
  #nowMs = 0;
  readonly #timers = new Set<Timer>();

  nowMs(): number {
    return this.#nowMs;
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) return Promise.resolve();
    return new Promise((resolve) => {
      const fire = () => {
        this.#timers.delete(timer);
        signal?.removeEventListener("abort", fire);
        resolve();
      };
      const timer: Timer = { atMs: this.#nowMs + ms, fire };
      this.#timers.add(timer);
      signal?.addEventListener("abort", fire);
    });
  }

  /** Moves the time and fires the timers on the way in their order. */
  async advance(ms: number): Promise<void> {
    const untilMs = this.#nowMs + ms;
    for (;;) {
      await nextTurn();
      const due = [...this.#timers].filter(({ atMs }) => atMs <= untilMs);
      if (due.length === 0) break;
      const next = due.reduce((a, b) => b.atMs < a.atMs ? b : a);
      this.#nowMs = Math.max(this.#nowMs, next.atMs);
      next.fire();
    }
    this.#nowMs = untilMs;
  }

  /** Moves the time without firing timers, as for a process that is paused. */
  pause(ms: number): void {
    this.#nowMs += ms;
  }
}
