/** Random numbers of a simulation, the same for the same seed. */
export class SeededRandom {
  #state: number;

  constructor(seed: number) {
    this.#state = seed >>> 0;
  }

  /** Returns a number from 0 (included) to 1 (excluded), by mulberry32. */
  readonly next = (): number => {
    this.#state = (this.#state + 0x6d2b79f5) >>> 0;
    let mixed = this.#state;
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };

  /** Returns an exponentially distributed number. */
  exponential(mean: number): number {
    return -Math.log(1 - this.next()) * mean;
  }

  /** Returns a uniformly distributed number. */
  between(min: number, max: number): number {
    return min + this.next() * (max - min);
  }
}
