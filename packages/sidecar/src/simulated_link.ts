import { transferMs } from "@tanagercove/channel";
import type { VirtualClock } from "@tanagercove/test_helpers";

/** Options of `SimulatedLink`. */
export interface SimulatedLinkOptions {
  readonly clock: VirtualClock;
  readonly linkMbps: number;
}

/** One direction of a VM's link: what is sent over it passes in the order in which it came. */
export class SimulatedLink {
  readonly #options: SimulatedLinkOptions;
  #freeAtMs = 0;

  constructor(options: SimulatedLinkOptions) {
    this.#options = options;
  }

  /** Resolves when bytes have passed. */
  pass(sizeBytes: number): Promise<void> {
    const { clock, linkMbps } = this.#options;
    this.#freeAtMs = Math.max(this.#freeAtMs, clock.nowMs()) +
      transferMs(sizeBytes, linkMbps);
    return clock.sleep(this.#freeAtMs - clock.nowMs());
  }
}
