import { SeededRandom, VirtualClock } from "@tanagercove/test_helpers";
import { LearnedCapacity } from "./learned_capacity.ts";

/** State of the upstream at the start of a run. */
export interface FixtureState {
  readonly nowMs: number;
  readonly running: number;
}

/** Options of `UpstreamFixture`. */
export interface UpstreamFixtureOptions {
  readonly seed: number;
  readonly slots: number;
  /** Route and usual time of the next request; one route of 70 ms by default. */
  readonly next?: (
    nowMs: number,
  ) => { readonly route: string; readonly usualMs: number };
  /** Time in which a run waits for requests of its own; 0 by default. */
  readonly ownCallsMs?: (nowMs: number) => number;
  /** Half of the width of the distribution of work, as a share of its mean. */
  readonly spread?: number;
  /** Factor by which work takes longer. */
  readonly factor: (state: FixtureState) => number;
  /** Work time that the upstream tells, in percent; 100 by default. */
  readonly toldPercent?: (state: FixtureState) => number;
  /** Number of requests that are there to run; more than the slots by default. */
  readonly demand?: (nowMs: number) => number;
}

/** An upstream in virtual time that always runs as many requests as its capacity allows. */
export class UpstreamFixture {
  readonly clock = new VirtualClock();
  readonly capacity: LearnedCapacity;
  readonly #options: UpstreamFixtureOptions;
  readonly #random: SeededRandom;
  #running = 0;
  ended = 0;

  constructor(options: UpstreamFixtureOptions) {
    this.#options = options;
    this.#random = new SeededRandom(options.seed);
    const { clock } = this;
    this.capacity = new LearnedCapacity({
      slots: options.slots,
      nowMs: () => clock.nowMs(),
    });
    this.#tick();
  }

  /** Runs for a time; returns the number of requests that ended and the average limit. */
  async run(ms: number): Promise<{ ended: number; averageLimit: number }> {
    const before = this.ended;
    const stepMs = 10;
    let limitSum = 0;
    for (let passedMs = 0; passedMs < ms; passedMs += stepMs) {
      await this.clock.advance(stepMs);
      limitSum += this.capacity.concurrencyLimit;
    }
    return {
      ended: this.ended - before,
      averageLimit: limitSum / (ms / stepMs),
    };
  }

  #tick(): void {
    this.#startAll();
    this.clock.setTimer(() => this.#tick(), 5);
  }

  #startAll(): void {
    const { demand = () => Infinity } = this.#options;
    const { capacity, clock } = this;
    const wanted = () =>
      Math.min(capacity.concurrencyLimit, demand(clock.nowMs()));
    while (this.#running < wanted()) this.#start();
  }

  #start(): void {
    const {
      next = () => ({ route: "a", usualMs: 70 }),
      ownCallsMs = () => 0,
      spread = 0.3,
      factor,
      toldPercent = () => 100,
    } = this.#options;
    const { capacity, clock } = this;
    this.#running += 1;
    const concurrency = this.#running;
    const state = () => ({ nowMs: clock.nowMs(), running: this.#running });
    const { route, usualMs } = next(clock.nowMs());
    const waitedMs = ownCallsMs(clock.nowMs());
    const serviceMs = waitedMs + usualMs * factor(state()) *
        this.#random.between(1 - spread, 1 + spread);
    clock.setTimer(() => {
      const percent = Math.round(toldPercent(state()));
      capacity.recordField(
        `${this.#running},0,${this.#options.slots},${percent}`,
      );
      this.#running -= 1;
      this.ended += 1;
      capacity.recordRun({
        route,
        serviceMs,
        ownCallsMs: waitedMs,
        concurrency,
      });
      this.#startAll();
    }, serviceMs);
  }
}
