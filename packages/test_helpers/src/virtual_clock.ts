import { setImmediate } from "node:timers/promises";

interface PendingTimer {
  readonly atMs: number;
  readonly sequence: number;
  callback: (() => void) | undefined;
}

/** Clock and timers for tests and simulations; time passes only through `advance` and `pause`. */
export class VirtualClock {
  #nowMs = 0;
  #sequence = 0;
  readonly #heap: PendingTimer[] = [];

  /** Virtual time in milliseconds since the clock was created. */
  nowMs(): number {
    return this.#nowMs;
  }

  /** Calls back when the clock has advanced by the delay. */
  setTimer(callback: () => void, delayMs: number): { cancel(): void } {
    const timer: PendingTimer = {
      atMs: this.#nowMs + Math.max(0, delayMs),
      sequence: this.#sequence++,
      callback,
    };
    this.#push(timer);
    return {
      cancel() {
        timer.callback = undefined;
      },
    };
  }

  /** Advances the clock, fires due timers in order and lets promises settle after each one. */
  async advance(ms: number): Promise<void> {
    const untilMs = this.#nowMs + ms;
    await setImmediate();
    for (;;) {
      const timer = this.#heap[0];
      if (timer === undefined || timer.atMs > untilMs) break;
      this.#pop();
      if (timer.callback === undefined) continue;
      this.#nowMs = Math.max(this.#nowMs, timer.atMs);
      timer.callback();
      await setImmediate();
    }
    this.#nowMs = Math.max(this.#nowMs, untilMs);
  }

  /** Resolves after a time, or earlier when the signal aborts. */
  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) return Promise.resolve();
    return new Promise((resolve) => {
      const end = () => {
        timer.cancel();
        signal?.removeEventListener("abort", end);
        resolve();
      };
      const timer = this.setTimer(end, ms);
      signal?.addEventListener("abort", end);
    });
  }

  /** Advances the time without firing timers, as if the process were paused. */
  pause(ms: number): void {
    this.#nowMs += ms;
  }

  #push(timer: PendingTimer): void {
    const heap = this.#heap;
    let index = heap.length;
    heap.push(timer);
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(timer, heap[parent]!)) break;
      heap[index] = heap[parent]!;
      index = parent;
    }
    heap[index] = timer;
  }

  #pop(): void {
    const heap = this.#heap;
    const last = heap.pop();
    if (last === undefined || heap.length === 0) return;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= heap.length) break;
      const right = heap[child + 1];
      if (right !== undefined && isBefore(right, heap[child]!)) child += 1;
      if (!isBefore(heap[child]!, last)) break;
      heap[index] = heap[child]!;
      index = child;
    }
    heap[index] = last;
  }
}

function isBefore(a: PendingTimer, b: PendingTimer): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.sequence < b.sequence);
}
